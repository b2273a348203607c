#pragma once

#include "state/configuration.h"
#include "state/yaml_reader.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// Reads the YAML that operators apply. Returns every fault at once; \a file names the source in
/// them. The version of the result is 0. What the text may leave out comes from \a base: a server's
/// pool may be one of its pools, and policy weights that are not given are its weights.
tl::expected<Configuration, std::vector<YamlFault>>
configurationFromYaml(const std::string &text, const std::string &file,
                      const Configuration &base = {});

/// Returns \a configuration as the JSON that is stored and sent between hosts.
nlohmann::json configurationToJson(const Configuration &configuration);

/// Reads what configurationToJson() wrote; the error says what was wrong.
tl::expected<Configuration, std::string> configurationFromJson(std::string_view text);

} // namespace dotterel
