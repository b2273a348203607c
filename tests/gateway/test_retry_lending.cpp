#include "core/hashing.h"
#include "core/random_source.h"
#include "gateway/retry_lending.h"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <set>
#include <unordered_map>
#include <variant>

using namespace dotterel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char *Pool = "engines";
const RetryBudgetLimits Limits{0.2, 106, seconds(10)};

/// Retries of a host of the version before lending: it keeps a share of at least one retry.
struct EarlierHost
{
    double tokens = 1;

    void advance(Duration step, double hosts)
    {
        const double capacity = std::max(1.0, Limits.slack * 0.5 / hosts);
        this->tokens = std::min(capacity,
                                this->tokens + Limits.slack * 0.35 / hosts / 10 * toSeconds(step));
    }
};

/// Hosts that lend each other retries over a network that is late and loses messages.
class LendingFleet
{
public:
    explicit LendingFleet(std::size_t count, std::size_t earlierHosts = 0)
        : earlier(earlierHosts)
        , allHosts(count)
    {
        std::vector<std::uint32_t> hashes;
        for (std::size_t host = 0; host < count; ++host)
            hashes.push_back(static_cast<std::uint32_t>(host));
        for (std::size_t host = 0; host < count - earlierHosts; ++host) {
            this->budgets.push_back(std::make_unique<RetryBudget>(Limits));
            this->budgets.back()->setHostCount(count);
            this->lending.push_back(std::make_unique<RetryLending>(
                    *this->budgets.back(), static_cast<std::uint32_t>(host), this->random));
            this->lending.back()->setHosts(hashes);
        }
    }

    std::size_t hosts() const { return this->lending.size(); }

    /// \a host wants a retry of a request that is worth \a value.
    void want(std::size_t host, double value = 1)
    {
        const std::uint64_t request = this->nextRequest++;
        this->values[request] = value;
        if (this->lending[host]->tryConsume(Pool, request, value, this->now))
            return this->spend(request);
        this->lending[host]->await(Pool, request, value);
        this->waits.push_back({host, request, this->now});
    }

    /// Every host of the earlier version wants as many retries as it has.
    void spendEarlier()
    {
        for (EarlierHost &host : this->earlier) {
            while (host.tokens >= 1) {
                host.tokens -= 1;
                this->spent.push_back(this->now);
            }
        }
    }

    void request(std::size_t host)
    {
        this->budgets[host]->onRequest(Pool, this->now);
        ++this->requests;
    }

    void advance(Duration duration)
    {
        constexpr Duration Step = milliseconds(5);
        for (const TimePoint end = this->now + duration; this->now < end;) {
            this->now += Step;
            for (EarlierHost &host : this->earlier)
                host.advance(Step, static_cast<double>(this->allHosts));
            this->serve();
            while (!this->network.empty() && this->network.front().due <= this->now) {
                const Message message = this->network.front();
                this->network.pop_front();
                this->deliver(message);
            }
        }
    }

    /// Returns the largest number of retries in one window.
    std::size_t worstWindow() const
    {
        std::size_t worst = 0;
        for (std::size_t first = 0, last = 0; last < this->spent.size(); ++last) {
            while (this->spent[last] - this->spent[first] >= Limits.window)
                ++first;
            worst = std::max(worst, last - first + 1);
        }
        return worst;
    }

    TimePoint now{seconds(100)};
    Duration delay = milliseconds(20);
    double loss = 0;
    std::size_t repeats = 1; ///< How often the network delivers a message.
    /// Two hosts in different parts reach each other only if there is one part.
    std::size_t parts = 1;
    std::size_t requests = 0;
    std::vector<TimePoint> spent;
    std::vector<double> spentValues;
    std::size_t refused = 0;
    std::vector<EarlierHost> earlier;

private:
    struct Wait
    {
        std::size_t host;
        std::uint64_t request;
        TimePoint since;
    };
    struct Message
    {
        std::size_t from;
        std::size_t to;
        std::variant<RetryAsk, RetryLoan> notice;
        TimePoint due;
    };

    void spend(std::uint64_t request)
    {
        this->spent.push_back(this->now);
        this->spentValues.push_back(this->values[request]);
    }

    void send(Message message)
    {
        if (message.to >= this->hosts() || message.from % this->parts != message.to % this->parts
            || this->random.nextDouble() < this->loss)
            return;
        message.due = this->now + this->delay;
        this->network.insert(this->network.end(), this->repeats, message);
    }

    void deliver(const Message &message)
    {
        RetryLending &receiver = *this->lending[message.to];
        const auto sender = static_cast<std::uint32_t>(message.from);
        if (const auto *loan = std::get_if<RetryLoan>(&message.notice)) {
            receiver.onLoan(Pool, sender, *loan, this->now);
            return;
        }
        const auto &ask = std::get<RetryAsk>(message.notice);
        if (const auto loan = receiver.onAsk(Pool, sender, ask, this->now))
            this->send({message.to, message.from, *loan, {}});
    }

    void serve()
    {
        std::set<std::size_t> waitingHosts;
        std::vector<Wait> left;
        for (const Wait &wait : this->waits) {
            RetryLending &own = *this->lending[wait.host];
            if (own.tryConsume(Pool, wait.request, this->values[wait.request], this->now)) {
                this->spend(wait.request);
                own.endWait(Pool, wait.request);
            } else if (this->now - wait.since >= RetryLending::MaxWait) {
                own.endWait(Pool, wait.request);
                ++this->refused;
            } else {
                left.push_back(wait);
                waitingHosts.insert(wait.host);
            }
        }
        this->waits = left;
        for (const std::size_t host : waitingHosts) {
            for (const RetryLending::AddressedAsk &ask :
                 this->lending[host]->takeAsks(Pool, this->now))
                this->send({host, ask.host, ask.ask, {}});
        }
    }

    SeededRandom random{5};
    std::vector<std::unique_ptr<RetryBudget>> budgets;
    std::vector<std::unique_ptr<RetryLending>> lending;
    std::size_t allHosts;
    std::uint64_t nextRequest = 1;
    std::unordered_map<std::uint64_t, double> values;
    std::vector<Wait> waits;
    std::deque<Message> network;
};

} // namespace

TEST_CASE("Hosts lend each other retries that they do not need", "[Gateway][RetryLending]")
{
    const std::size_t count = GENERATE(6, 82, 195);
    CAPTURE(count);
    LendingFleet fleet(count);

    SECTION("so that one host alone can retry what a lost failure domain has broken off")
    {
        constexpr std::size_t Broken = 20;
        for (std::size_t index = 0; index < Broken; ++index)
            fleet.want(0);
        fleet.advance(milliseconds(200));
        CHECK(fleet.spent.size() >= Broken * 9 / 10);
    }
    SECTION("and the more valuable request comes first")
    {
        for (std::size_t host = 0; host < fleet.hosts(); ++host) {
            for (std::size_t index = 0; index < 400 / count + 1; ++index)
                fleet.want(host, index % 2 == 0 ? 1 : 3);
        }
        fleet.spentValues.clear();
        fleet.advance(milliseconds(200));
        const auto valuable = std::count(fleet.spentValues.begin(), fleet.spentValues.end(), 3.0);
        CHECK(static_cast<std::size_t>(valuable) * 10 >= fleet.spentValues.size() * 9);
    }
}

TEST_CASE("The retries of hosts that lend stay within the limit of the fleet",
          "[Gateway][RetryLending]")
{
    const std::size_t count = GENERATE(6, 82, 195);
    const std::string network = GENERATE("sound", "lossy", "repeating", "slow", "split");
    CAPTURE(count, network);
    LendingFleet fleet(count);
    fleet.loss = network == "lossy" ? 0.3 : 0;
    fleet.repeats = network == "repeating" ? 3 : 1;
    fleet.delay = network == "slow" ? milliseconds(90) : milliseconds(20);
    fleet.parts = network == "split" ? 3 : 1;
    const std::size_t requestsPerSecond = GENERATE(0, 200);
    CAPTURE(requestsPerSecond);
    // All servers are lost at one instant, and every host wants to retry more than there is.
    for (int step = 0; step < 120; ++step) {
        for (std::size_t index = 0; index < requestsPerSecond / 10; ++index)
            fleet.request((static_cast<std::size_t>(step) * 7 + index) % fleet.hosts());
        for (std::size_t host = 0; host < fleet.hosts(); ++host)
            fleet.want(host);
        fleet.advance(milliseconds(100));
    }
    const double allowed =
            Limits.slack + Limits.ratio * static_cast<double>(requestsPerSecond) * 10;
    CHECK(static_cast<double>(fleet.worstWindow()) <= allowed);
}

TEST_CASE("Hosts that lend leave hosts of the earlier version their share",
          "[Gateway][RetryLending]")
{
    constexpr std::size_t Hosts = 82;
    LendingFleet fleet(Hosts, Hosts / 2);
    for (int step = 0; step < 120; ++step) {
        for (std::size_t host = 0; host < fleet.hosts(); ++host)
            fleet.want(host);
        fleet.spendEarlier();
        fleet.advance(milliseconds(100));
    }
    CHECK(static_cast<double>(fleet.worstWindow()) <= Limits.slack);
}
