// The part of SoakRun that leaves objects in the store that no host can read.

#include "platform/soak/soak_run.h"

namespace dotterel::soak {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t MeanOddEntryIntervalMs = 2'000;
constexpr std::uint64_t MinOddEntryMs = 500;
constexpr std::uint64_t OddEntrySpreadMs = 6'000;
constexpr std::size_t DeepLevels = 100'000;
constexpr std::size_t LongTextBytes = 300'000;

std::string drawOddText(RandomSource &random)
{
    const std::string deep = std::string(DeepLevels, '[') + std::string(DeepLevels, ']');
    const std::vector<std::string> values = {
            deep,           "1e400",
            R"("\ud800")",  "-123456789012345678901234567890",
            "\"\xff\xfe\"", "\"" + std::string(LongTextBytes, 'x') + "\"",
            "70000",        "null",
            "{}",           "nul"};
    const std::string &value = values[random.nextBelow(values.size())];
    if (random.nextBelow(4) == 0)
        return value;
    const std::vector<std::string> fields = {"service", "address", "zone",         "slots",
                                             "state",   "born",    "cold_left_ms", "version"};
    const std::string &odd = fields[random.nextBelow(fields.size())];
    std::string text = "{";
    for (const std::string &field : fields)
        text += (text.size() > 1 ? ",\"" : "\"") + field
                + "\":" + (field == odd ? value : "\"odd\"");
    return text + "}";
}

} // namespace

void SoakRun::scheduleOddEntries()
{
    this->runAfter(milliseconds(1 + this->oddRandom.nextBelow(2 * MeanOddEntryIntervalMs)), [this] {
        if (this->faultsEnded)
            return;
        this->leaveOddEntry();
        this->scheduleOddEntries();
    });
}

void SoakRun::leaveOddEntry()
{
    const std::vector<std::string> kinds = {"servers", "servers", "config", "evacuations",
                                            "dotterelfield-hosts"};
    const std::string &kind = kinds[this->oddRandom.nextBelow(kinds.size())];
    const std::string name = "odd-" + std::to_string(this->nextOddNumber++);
    this->store.putText(kind, name, drawOddText(this->oddRandom));
    this->runAfter(milliseconds(MinOddEntryMs + this->oddRandom.nextBelow(OddEntrySpreadMs)),
                   [this, kind = kind, name] { this->store.remove(kind, name); });
}

} // namespace dotterel::soak
