#pragma once

#include "state/configuration.h"
#include "state/yaml_reader.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// Parses the YAML that operators apply. On failure returns all errors; \a file is the source name
/// in them. The result has version 0. A server may refer to a pool of \a base, and policy weights
/// that the text omits are taken from \a base.
tl::expected<Configuration, std::vector<YamlError>>
configurationFromYaml(const std::string &text, const std::string &file,
                      const Configuration &base = {});

/// Encodes \a configuration as the JSON that is stored and sent between hosts.
nlohmann::json configurationToJson(const Configuration &configuration);

/// Decodes the output of configurationToJson(). The error describes the first problem.
tl::expected<Configuration, std::string> configurationFromJson(std::string_view text);

} // namespace dotterel
