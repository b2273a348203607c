#include "core/structured_log.h"

#include <algorithm>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/channel_logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using Backend = boost::log::sinks::text_ostream_backend;
using Logger = boost::log::sources::channel_logger<std::string>;
using Frontend = boost::log::sinks::synchronous_sink<Backend>;

const EventInfo &eventInfo(Event event)
{
    for (const EventInfo &info : eventTable()) {
        if (info.event == event)
            return info;
    }
    return eventTable().front();
}

std::int64_t unixTimeMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

std::int64_t monotonicTimeUs()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(sinceStart).count();
}

} // namespace

struct StructuredLog::Sink
{
    boost::shared_ptr<Frontend> frontend;
    Logger logger;
};

StructuredLog::StructuredLog(HostId host, Severity threshold, const LogRateLimit &rateLimit)
    : host(std::move(host))
    , threshold(threshold)
    , rateLimit(rateLimit)
    , tokens(rateLimit.burst)
    , clock(monotonicTimeUs)
    , lastRefillUs(this->clock())
    , sink(std::make_unique<Sink>())
{
    const boost::shared_ptr<Backend> backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    this->sink->frontend = boost::make_shared<Frontend>(backend);
    // All loggers of a process share the Boost.Log core. The channel filter routes the lines of
    // this log to its own sink only.
    const std::string channel = std::to_string(reinterpret_cast<std::uintptr_t>(this));
    this->sink->logger = Logger(boost::log::keywords::channel = channel);
    this->sink->frontend->set_filter(boost::log::expressions::attr<std::string>("Channel")
                                     == channel);
    this->sink->frontend->set_formatter(boost::log::expressions::stream
                                        << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(this->sink->frontend);
}

StructuredLog::~StructuredLog()
{
    boost::log::core::get()->remove_sink(this->sink->frontend);
}

void StructuredLog::write(Event event, const std::vector<LogField> &fields)
{
    if (eventInfo(event).severity < this->threshold)
        return;
    if (!this->tryConsumeToken()) {
        ++this->suppressedLines;
        return;
    }
    if (this->suppressedLines > 0) {
        const std::int64_t droppedLines = this->suppressedLines;
        this->suppressedLines = 0;
        this->writeLine(Event::LinesSuppressed, {{"lines", droppedLines}});
    }
    this->writeLine(event, fields);
}

bool StructuredLog::tryConsumeToken()
{
    constexpr double MicrosecondsPerSecond = 1e6;
    const std::int64_t nowUs = this->clock();
    const double elapsedSeconds =
            static_cast<double>(std::max<std::int64_t>(0, nowUs - this->lastRefillUs))
            / MicrosecondsPerSecond;
    this->tokens = std::min(this->rateLimit.burst,
                            this->tokens + elapsedSeconds * this->rateLimit.linesPerSecond);
    this->lastRefillUs = nowUs;
    if (this->tokens < 1)
        return false;
    this->tokens -= 1;
    return true;
}

void StructuredLog::writeLine(Event event, const std::vector<LogField> &fields)
{
    const EventInfo &info = eventInfo(event);
    nlohmann::ordered_json line;
    line["time_ms"] = unixTimeMs();
    line["host"] = this->host;
    line["event"] = static_cast<int>(event);
    line["name"] = info.name;
    line["severity"] = severityName(info.severity);
    for (const LogField &field : fields) {
        std::visit([&line, &field](const auto &value) { line[std::string(field.name)] = value; },
                   field.value);
    }
    BOOST_LOG(this->sink->logger) << line.dump(-1, ' ', false,
                                               nlohmann::ordered_json::error_handler_t::replace);
    // A failed write to standard output, for example with a slow reader, drops the line instead of
    // blocking. The error state is cleared so that the next line is written again.
    if (!std::cout) {
        std::cout.clear();
        ++this->suppressedLines;
    }
}

} // namespace dotterel
