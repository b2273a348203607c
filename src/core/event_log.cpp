#include "core/event_log.h"

#include "core/enum_names.h"

#include <array>

namespace dotterel {

namespace {

constexpr std::array<EnumName<Severity>, 4> SeverityNames = {{
        {Severity::Debug, "debug"},
        {Severity::Info, "info"},
        {Severity::Warning, "warning"},
        {Severity::Error, "error"},
}};

} // namespace

const std::vector<EventInfo> &eventTable()
{
    static const std::vector<EventInfo> table = {
            {Event::HostStarted, "host_started", Severity::Info, "The entry host process started."},
            {Event::HostReady, "host_ready", Severity::Info,
             "The entry host has a configuration and accepts requests."},
            {Event::ShutdownBegan, "shutdown_began", Severity::Info,
             "The entry host reports not ready and completes its accepted requests."},
            {Event::ShutdownDone, "shutdown_done", Severity::Info,
             "All accepted requests have ended and the process exits."},
            {Event::SettingsRejected, "settings_rejected", Severity::Error,
             "The settings file is invalid and the process exits."},
            {Event::SettingsReloaded, "settings_reloaded", Severity::Info,
             "The settings were reloaded; those that can change at run time are applied."},
            {Event::HandlingFailed, "handling_failed", Severity::Error,
             "An exception ended the handling of one event of a connection, datagram or timer."},
            {Event::HostStopped, "host_stopped", Severity::Warning,
             "The process ends; `reason` says what ended it. Written whatever the threshold."},
            {Event::RequestRefused, "request_refused", Severity::Info,
             "A request was refused; the caller received the reason and verdict."},
            {Event::RequestFinished, "request_finished", Severity::Info,
             "A caller received its complete response."},
            {Event::AttemptFailed, "attempt_failed", Severity::Warning,
             "An attempt on a backend server failed."},
            {Event::AttemptStarted, "attempt_started", Severity::Info,
             "An attempt was sent to a backend server."},
            {Event::ForeignBytesDropped, "foreign_bytes_dropped", Severity::Warning,
             "Response bytes that belong to another attempt were discarded."},
            {Event::CallerLeft, "caller_left", Severity::Info,
             "The caller closed its connection before the response was complete."},
            {Event::LinesSuppressed, "lines_suppressed", Severity::Warning,
             "Log lines were dropped by the rate limit or because the output failed."},
            {Event::ResponseTooLarge, "response_too_large", Severity::Warning,
             "A response was cut off because more of it had to be held than the limit allows."},
            {Event::RequestRelayed, "request_relayed", Severity::Info,
             "A request was handed to another host, since this one reaches no server of its pool."},
            {Event::RelayedRequestTaken, "relayed_request_taken", Severity::Info,
             "A request of another host that reaches no server of its pool was taken over."},
            {Event::OrderClaimed, "order_claimed", Severity::Debug,
             "A non-idempotent request was claimed in the object API."},
            {Event::OrderClaimFailed, "order_claim_failed", Severity::Warning,
             "An order could not be claimed and was not dispatched."},
            {Event::OrderOutcomeRecorded, "order_outcome_recorded", Severity::Debug,
             "The outcome of a non-idempotent request was recorded."},
            {Event::ConfigurationApplied, "configuration_applied", Severity::Info,
             "A newer configuration was applied on this entry host."},
            {Event::ConfigurationRejected, "configuration_rejected", Severity::Error,
             "A configuration is invalid; the active one stays in use."},
            {Event::PlatformUnavailable, "platform_unavailable", Severity::Warning,
             "The object API stopped responding."},
            {Event::PlatformReachable, "platform_reachable", Severity::Info,
             "The object API responds again."},
            {Event::PlatformHistoryLost, "platform_history_lost", Severity::Warning,
             "The object API has discarded the history that a watch needs; all objects are listed "
             "again."},
            {Event::ObjectRejected, "object_rejected", Severity::Warning,
             "An object of the platform is invalid and is ignored."},
            {Event::ObjectOutdated, "object_outdated", Severity::Warning,
             "The platform returned an object older than the known one; it is ignored. Logged once "
             "per object until the object changes."},
            {Event::PlatformEraChanged, "platform_era_changed", Severity::Warning,
             "The platform was restored from a copy; what it returned before is replaced."},
            {Event::PlatformEraRejected, "platform_era_rejected", Severity::Warning,
             "A response of the platform stated an unreadable era, or an earlier one and was "
             "discarded."},
            {Event::WatchRenewed, "watch_renewed", Severity::Info,
             "A waiting watch was repeated on a new connection, since its connection may be "
             "silent."},
            {Event::PeerLinked, "peer_linked", Severity::Info,
             "A link to another entry host was established."},
            {Event::PeerLinkClosed, "peer_link_closed", Severity::Info,
             "A link to another entry host was closed."},
            {Event::PeerFrameRejected, "peer_frame_rejected", Severity::Warning,
             "A frame from another entry host was malformed or too large."},
            {Event::MemberSuspected, "member_suspected", Severity::Warning,
             "The heartbeats of an entry host stopped."},
            {Event::MemberJoined, "member_joined", Severity::Info,
             "An entry host, or a new incarnation of one, joined the membership."},
            {Event::HostEntryRemoved, "host_entry_removed", Severity::Info,
             "The entry of a host that no longer runs was removed from the platform's list."},
            {Event::HostEntryRestored, "host_entry_restored", Severity::Info,
             "A live host that was missing from the platform's list was added again."},
            {Event::ServerDraining, "server_draining", Severity::Info,
             "A backend server is draining and receives no new requests."},
            {Event::ServerDown, "server_down", Severity::Warning,
             "A backend server stopped responding."},
            {Event::ServerUp, "server_up", Severity::Info, "A backend server responds again."},
            {Event::ServerPaused, "server_paused", Severity::Info,
             "A backend server asked this host to send it nothing for a time."},
            {Event::ServerLimited, "server_limited", Severity::Info,
             "A backend server named a limit of requests per second, changed it or lifted it."},
            {Event::ServerLimitInvalid, "server_limit_invalid", Severity::Warning,
             "A backend server named a limit that is no number of at least 0; what it named before "
             "holds."},
            {Event::ServiceOutOfReach, "service_out_of_reach", Severity::Warning,
             "This host reaches no server of a pool; its requests go through other hosts."},
            {Event::ServiceReachable, "service_reachable", Severity::Info,
             "This host reaches servers of a pool again."},
            {Event::ServerWarmingUp, "server_warming_up", Severity::Info,
             "A backend server warms up; all hosts together keep to the rate of its pool."},
            {Event::ServerWarm, "server_warm", Severity::Info, "A backend server has warmed up."},
            {Event::ServerSuspicionLifted, "server_suspicion_lifted", Severity::Info,
             "A backend server that other hosts reported as silent sends to another host."},
            {Event::ServerPaceStarted, "server_pace_started", Severity::Info,
             "An engine started or recovered; few prompts may wait for their first event there."},
            {Event::ServerPaceEnded, "server_pace_ended", Severity::Info,
             "An engine takes prompts without a window again."},
            {Event::DomainOutOfService, "domain_out_of_service", Severity::Info,
             "Operators put a failure domain out of service; nothing new is sent to its backend "
             "servers."},
            {Event::DomainInService, "domain_in_service", Severity::Info,
             "A failure domain is in service again."},
            {Event::DomainEntryLost, "domain_entry_lost", Severity::Warning,
             "The platform was restored from a copy that lacks the entry of a failure domain that "
             "is out of service; the domain stays out for a while, so that the entry can be "
             "written again."},
            {Event::AllocationReleased, "allocation_released", Severity::Warning,
             "An orphaned allocation of engine memory was released."},
            {Event::AllocationReserveFailed, "allocation_reserve_failed", Severity::Info,
             "Engine memory for a long prompt could not be reserved."},
            {Event::CrashSuspect, "crash_suspect", Severity::Warning,
             "A request was running on a backend server that crashed."},
            {Event::CrashRefused, "crash_refused", Severity::Error,
             "A request that crashes backend servers was refused."},
            {Event::CrashCleared, "crash_cleared", Severity::Warning,
             "A suspect was cleared: the crashes counted for it so far are forgotten."},
            {Event::CrashLearned, "crash_learned", Severity::Info,
             "Another entry host reported crashes, or the clearance, of a suspect."},
            {Event::CrashDoubted, "crash_doubted", Severity::Info,
             "An attempt ended without showing whether its backend server crashed."},
            {Event::CrashDoubtSettled, "crash_doubt_settled", Severity::Info,
             "Whether the backend server of a doubted attempt crashed is decided."},
            {Event::CrashSuspectStored, "crash_suspect_stored", Severity::Info,
             "The entry of a suspect of crashes was written to the platform's store or removed."},
            {Event::CrashSuspectsRead, "crash_suspects_read", Severity::Info,
             "The suspects of crashes that the platform's store keeps were read."},
    };
    return table;
}

std::string_view severityName(Severity severity)
{
    return enumName(SeverityNames, severity);
}

void NullEventLog::write(Event /*event*/, const std::vector<LogField> & /*fields*/) {}

} // namespace dotterel
