#include "bench/bench_settings.h"

#include <yaml-cpp/yaml.h>

namespace dotterel::bench {

namespace {

constexpr std::uint64_t MostNodes = 1'000;
constexpr std::uint64_t MostTokens = 4'000'000;
constexpr double MostRate = 10'000'000;
constexpr double LongestSeconds = 86'400;
constexpr double LongestMilliseconds = 60'000;

/// Reads one document and keeps its faults.
class WorkloadReader
{
public:
    explicit WorkloadReader(std::string file)
        : file(std::move(file))
    {}

    tl::expected<Workload, std::vector<YamlError>> read(const std::string &text)
    {
        try {
            this->readRoot(YAML::Load(text));
        } catch (const YAML::Exception &error) {
            this->faults.push_back({this->file, error.mark.line + 1, "", error.msg});
        }
        if (!this->faults.empty())
            return tl::unexpected(this->faults);
        return this->workload;
    }

private:
    void readRoot(const YAML::Node &node)
    {
        YamlMapReader reader(node, this->file, "", this->faults);
        Workload &w = this->workload;
        reader.readString("name", w.name, true);
        reader.readInteger("servers", w.servers, 1, MostNodes);
        reader.readInteger("hosts", w.hosts, 1, MostNodes);
        reader.readInteger("failure-domains", w.failureDomains, 1, MostNodes);
        this->readTime(reader, "one-way-latency-ms", w.oneWayLatency);
        this->readTime(reader, "report-interval-ms", w.reportInterval);
        this->readTime(reader, "news-interval-ms", w.newsInterval);
        reader.readInteger("news-peers", w.newsPeers, 0, MostNodes);
        this->readTime(reader, "measured-s", w.measured);
        this->readTime(reader, "warm-up-s", w.warmUp);
        this->readTime(reader, "question-deadline-s", w.questionDeadline);
        this->readTime(reader, "review-deadline-s", w.reviewDeadline);
        this->readTime(reader, "archive-deadline-s", w.archiveDeadline);
        this->readTraffic(reader);
        this->readEngine(reader);
        this->readWeights(reader);
        reader.rejectUnknownKeys();
    }

    void readTraffic(YamlMapReader &reader)
    {
        Workload &w = this->workload;
        reader.readNumber("prefix-share", w.prefixShare, 0, 1);
        reader.readInteger("prefixes", w.prefixes, 1, MostNodes);
        reader.readNumber("burst-factor", w.burstFactor, 1, 10);
        this->readTime(reader, "burst-s", w.burstLength);
        this->readTime(reader, "burst-every-s", w.burstEvery);
        reader.readInteger("least-answer-tokens", w.leastAnswerTokens, 1, MostTokens);
        reader.readInteger("most-answer-tokens", w.mostAnswerTokens, 1, MostTokens);
        for (const YAML::Node &node : reader.readMapList("lengths"))
            this->readLength(node);
        for (const YAML::Node &node : reader.readMapList("workspaces"))
            this->readWorkspace(node);
        if (w.lengths.empty())
            reader.addError("lengths", "must not be empty");
        if (w.workspaces.empty())
            reader.addError("workspaces", "must not be empty");
    }

    void readLength(const YAML::Node &node)
    {
        YamlMapReader reader(node, this->file, "lengths", this->faults);
        LengthMix mix;
        reader.readNumber("share", mix.share, 0, 1, true);
        reader.readInteger("least", mix.least, 1, MostTokens, true);
        reader.readInteger("most", mix.most, 1, MostTokens, true);
        reader.rejectUnknownKeys();
        if (mix.least > mix.most)
            reader.addError("least", "must not be above \"most\"");
        this->workload.lengths.push_back(mix);
    }

    void readWorkspace(const YAML::Node &node)
    {
        YamlMapReader reader(node, this->file, "workspaces", this->faults);
        WorkspaceMix mix;
        reader.readString("name", mix.name, true);
        reader.readNumber("share", mix.share, 0.001, 1'000);
        reader.readNumber("traffic", mix.traffic, 0, 1'000);
        reader.rejectUnknownKeys();
        this->workload.workspaces.push_back(mix);
    }

    void readEngine(YamlMapReader &parent)
    {
        const YAML::Node node = parent.readMap("engine");
        YamlMapReader reader(node, this->file, "engine", this->faults);
        EngineSettings &e = this->workload.engine;
        reader.readNumber("prefill-tokens-per-s", e.prefill.tokensPerSecond, 1, MostRate);
        reader.readNumber("doubling-context-tokens", e.prefill.costDoublingContextTokens, 1, 1e12);
        reader.readInteger("chunk-tokens", e.chunkTokens, 1, MostTokens);
        this->readTime(reader, "token-interval-ms", e.tokenInterval);
        reader.readInteger("memory-tokens", e.memoryTokens, 1, MostTokens);
        reader.readNumber("long-memory-share", e.longMemoryShare, 0.1, 1);
        reader.readNumber("part-memory-share", e.partMemoryShare, 0.1, 1);
        reader.readInteger("prefix-cache-tokens", e.prefixCacheTokens, 0, MostTokens);
        reader.rejectUnknownKeys();
    }

    void readWeights(YamlMapReader &parent)
    {
        const YAML::Node node = parent.readMap("policy");
        YamlMapReader reader(node, this->file, "policy", this->faults);
        reader.readNumber("short-slowdown", this->workload.weights.shortSlowdown, 0, 1);
        reader.readNumber("first-token", this->workload.weights.firstToken, 0, 1);
        reader.rejectUnknownKeys();
    }

    /// Reads a time whose key ends with its unit, "-s" or "-ms".
    void readTime(YamlMapReader &reader, const std::string &key, Duration &value)
    {
        const bool milliseconds = key.substr(key.size() - 3) == "-ms";
        const double unit = milliseconds ? 1e-3 : 1;
        double number = toSeconds(value) / unit;
        reader.readNumber(key, number, 0.001, milliseconds ? LongestMilliseconds : LongestSeconds);
        value = fromSeconds(number * unit);
    }

    std::string file;
    std::vector<YamlError> faults;
    Workload workload;
};

} // namespace

tl::expected<Workload, std::vector<YamlError>> workloadFromYaml(const std::string &text,
                                                                const std::string &file)
{
    return WorkloadReader(file).read(text);
}

} // namespace dotterel::bench
