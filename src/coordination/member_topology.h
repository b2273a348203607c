#pragma once

#include "protocol/peer_message.h"

#include <vector>

namespace dotterel {

/// Maximum number of links that a host opens. On average, as many are opened to it by others.
constexpr std::size_t MaxOutgoingLinks = 4;

/// Selects the members to which \a self opens links. Up to 2 * MaxOutgoingLinks + 1 = 9 members,
/// the size of the current deployment, form a full mesh. Larger fleets use a partial mesh: the
/// successor on the hash ring of the own failure domain, which connects the whole domain, one more
/// member of the own domain, and members of different other domains, so that links between domains
/// are restored after a network partition. The selection depends only on the set of members, and
/// few links change when a member joins or leaves.
std::vector<MemberRecord> selectLinkTargets(const HostIdentity &self,
                                            const std::vector<MemberRecord> &members);

/// Returns how many members of the failure domain of \a self rank before it for the task named
/// \a task by rendezvous hashing. \a members includes \a self.
std::size_t taskRank(const HostIdentity &self, const std::vector<MemberRecord> &members,
                     const std::string &task);

/// Returns true if \a self is one of the \a count members of its failure domain to which the task
/// named \a task is assigned by rendezvous hashing. \a members includes \a self.
bool isTaskAssigned(const HostIdentity &self, const std::vector<MemberRecord> &members,
                    const std::string &task, std::size_t count);

} // namespace dotterel
