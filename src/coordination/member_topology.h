#pragma once

#include "protocol/peer_message.h"

#include <vector>

namespace dotterel {

/// Links that a host opens; those that others open to it come on top, as many on average.
constexpr std::size_t OutgoingLinks = 4;

/// Chooses the members to which \a self opens links. Up to 2 * OutgoingLinks + 1 members, the nine
/// of today among them, are all linked to each other. Beyond that: in its own failure domain the
/// next one on a ring, which joins the whole domain, and one more; then members of different other
/// domains, so that a cut between domains heals. The choice depends on the members alone and moves
/// little when one comes or goes.
std::vector<MemberRecord> chooseLinks(const HostIdentity &self,
                                      const std::vector<MemberRecord> &members);

/// Returns true if \a self is one of the \a count members of its failure domain that do a duty
/// named \a duty. \a members includes \a self.
bool hasDuty(const HostIdentity &self, const std::vector<MemberRecord> &members,
             const std::string &duty, std::size_t count);

} // namespace dotterel
