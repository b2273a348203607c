#pragma once

#include "core/identity.h"
#include "core/random_source.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <vector>

namespace dotterel {

/// Timing of SilenceReplies.
struct SilenceReplySettings
{
    /// A server that sent bytes to this host this recently works. Longer than a pass of an engine,
    /// shorter than the silence that hosts report.
    Duration recentSign = std::chrono::milliseconds(250);
    /// Hosts draw their delay below this, so that the first reply reaches most of them in time.
    Duration maxDelay = std::chrono::milliseconds(30);
    /// One reply about a server serves this long.
    Duration repeatInterval = std::chrono::milliseconds(200);
};

/// Decides which reports of silent servers this host contradicts. Answers load at which most slots
/// of the engines are taken for seconds: such an engine begins few answers, so that only the hosts
/// with a stream there know that it works, and a prompt that waits for a slot makes all others
/// leave it. Performs no I/O.
class SilenceReplies
{
public:
    SilenceReplies(const SilenceReplySettings &settings, RandomSource &random);

    /// Handles the report of another host that \a server is silent. \a lastSign is when this host
    /// last received bytes from it.
    void onReport(const ServerId &server, std::optional<TimePoint> lastSign, TimePoint now);

    /// Handles the news that another host contradicts reports about \a server.
    void onReply(const ServerId &server, TimePoint now);

    /// Returns the servers of which the other hosts have to be told now that they work.
    std::vector<ServerId> takeDue(TimePoint now);

    /// Returns when takeDue() has to be called next; nullopt if nothing is due.
    std::optional<TimePoint> nextDue() const;

private:
    SilenceReplySettings settings;
    RandomSource &random;
    std::map<ServerId, TimePoint> due;     ///< Replies to be sent.
    std::map<ServerId, TimePoint> replied; ///< Latest reply of any host.
};

} // namespace dotterel
