#pragma once

#include "core/identity.h"

#include <map>
#include <vector>

namespace dotterel {

/// Decides when a server that said it was leaving counts as back: it has to say the opposite
/// several times in a row, since reports may be older than what it said before. Pure.
class ServerReturn
{
public:
    /// Starts anew for servers that are not among \a draining.
    void keep(const std::vector<ServerId> &draining);

    /// \a server said whether it is draining. Returns true if it is back.
    bool onReport(const ServerId &server, bool draining);

private:
    std::map<ServerId, int> reportsInARow;
};

} // namespace dotterel
