#pragma once

#include "core/identity.h"
#include "core/time.h"

#include <functional>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// How an attempt ended without showing whether its server crashed.
enum class DoubtfulEndKind {
    LostAtOnce, ///< A reused connection was lost at once; the server may have closed it before.
    Silence,    ///< Nothing came any more until the attempt was given up.
    GivenUp,    ///< The attempt was given up before a response could be expected.
    /// A success that only the end of its connection delimits, which a crash may have caused.
    EndedInOrder,
};

/// Returns the external name of \a kind.
std::string_view doubtfulEndName(DoubtfulEndKind kind);

/// An attempt whose end does not show whether its server crashed.
struct DoubtfulEnd
{
    DoubtfulEndKind kind = DoubtfulEndKind::LostAtOnce;
    std::string request;     ///< Id of the request.
    std::string fingerprint; ///< See CrashGuard::fingerprint().
    /// Keys of the shared parts of a prompt without an event, see PromptPartGuard; else empty.
    std::vector<std::string> partKeys;
    bool hasBegun = false; ///< The head of the response had arrived.
    ServerId server;
    TimePoint since; ///< A crash that ended the attempt is not earlier than this.
    TimePoint endedAt;
    /// How long the server may have gone on with the run after endedAt.
    Duration runOutTime = Duration::zero();
};

/// What is known of the server of a doubtful end.
struct ServerTraces
{
    std::optional<TimePoint> lastSignOfLife;
    /// When the server was last found to be gone although it had not said that it leaves: it
    /// refused a connection, or its entry was removed or replaced.
    std::optional<TimePoint> disappearedAt;
};

/// Limits of a DoubtfulEnds.
struct DoubtfulEndLimits
{
    /// How long after its attempt a crashed server is found to be gone. Entries of crashed servers
    /// expire within about three seconds.
    Duration confirmationWindow = std::chrono::seconds(5);
    /// Bytes that a server sent before it crashed may be received this much later.
    Duration transitTime = std::chrono::milliseconds(50);
    std::size_t maxEntries = 2'048;
};

/// Holds attempts that ended in doubt until it is known whether their servers crashed. Performs no
/// I/O and reads no clock.
class DoubtfulEnds
{
public:
    /// A doubtful end and what it turned out to be.
    struct Settled
    {
        DoubtfulEnd end;
        bool crashed = false;
        TimePoint crashedAt; ///< The latest time at which it can have crashed; if it did.
    };

    explicit DoubtfulEnds(const DoubtfulEndLimits &limits);

    bool empty() const { return this->ends.empty(); }

    /// Adds \a end; the oldest one is dropped beyond the limit.
    void add(DoubtfulEnd end);

    /// Removes and returns the ends that are no longer in doubt: the server was found to be gone,
    /// showed that it lived on, or was not missed within the confirmation window.
    std::vector<Settled> settle(const std::function<ServerTraces(const ServerId &)> &tracesOf,
                                TimePoint now);

    /// Removes the ends of a request that has run to completion since.
    void dismiss(std::string_view fingerprint);

private:
    std::optional<bool> judge(const DoubtfulEnd &end, const ServerTraces &traces,
                              TimePoint now) const;

    DoubtfulEndLimits limits;
    std::list<DoubtfulEnd> ends;
};

} // namespace dotterel
