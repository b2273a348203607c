#pragma once

#include "core/identity.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// KV cache memory reserved on one engine for a prompt.
struct MemoryReservation
{
    std::string id;
    ServerId server;
    std::uint64_t tokens = 0;
    bool granted = false;
    /// Orders to reserve or renew it without an answer. Each may still take effect.
    std::size_t unansweredOrders = 0;
    TimePoint orderedAt; ///< When the latest of them was sent.
};

/// Timing parameters of a MemoryReleases.
struct MemoryReleaseTimings
{
    /// An engine that has not answered a release by then is told again; doubled each time.
    Duration repeatInterval = std::chrono::milliseconds(600);
    /// Interval of releases against orders that may take effect late.
    Duration followUpInterval = std::chrono::milliseconds(2'500);
    /// How late an engine may carry out an order that it did not answer.
    Duration lateEffectTime = std::chrono::seconds(13);
    /// Lifetime of a reservation that is not renewed.
    Duration reservationLifetime = std::chrono::milliseconds(3'500);
};

/// Decides when the memory of prompts that have ended is released, and released again: an answer
/// may be lost, and an engine that did not answer an order may carry it out after the release.
/// Answers engines that are slow to carry out orders while prompts end. Performs no I/O.
class MemoryReleases
{
public:
    explicit MemoryReleases(const MemoryReleaseTimings &timings);

    /// Adds the memory of a prompt that has ended. Its first release is due at once.
    void add(const MemoryReservation &reservation, TimePoint now);

    /// The engine answered an order to reserve, which may have been carried out after the release.
    void onReserved(const std::string &id, bool granted, TimePoint now);

    /// The engine answered a release.
    void onReleased(const std::string &id, TimePoint now);

    /// Returns the releases that are due and plans the next ones. Reservations that cannot exist
    /// any more are forgotten.
    std::vector<MemoryReservation> takeDue(TimePoint now);

    /// Returns true if an engine has not answered the release of memory of an ended prompt, and
    /// has not been told so several times.
    bool isUnconfirmed() const;

    /// Returns when takeDue() has to be called next; nullopt if nothing is left to be released.
    std::optional<TimePoint> nextDue() const;

private:
    struct Record
    {
        MemoryReservation reservation;
        TimePoint due;
        TimePoint forgetAt;
        Duration interval = Duration::zero(); ///< To the next release if this one has no answer.
        bool confirmed = false;               ///< The engine has answered a release.
    };

    MemoryReleaseTimings timings;
    std::map<std::string, Record> records; ///< By id of the reservation.
};

} // namespace dotterel
