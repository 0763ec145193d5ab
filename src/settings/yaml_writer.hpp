#pragma once

#include "settings/instance_settings.hpp"
#include "settings/log_level.hpp"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace boragestand::settings
{

/// Writes settings as one YAML mapping.
class yaml_writer
{
public:
    yaml_writer() { emitter_ << YAML::BeginMap; }

    /// Writes a key with a string, which is quoted where YAML requires it.
    yaml_writer& pair(std::string_view key, const std::string& value)
    {
        emitter_ << YAML::Key << std::string(key) << YAML::Value;
        if (value.empty())
        {
            emitter_ << YAML::DoubleQuoted;
        }
        emitter_ << value;
        return *this;
    }

    /// Writes a key with true or false.
    yaml_writer& flag(std::string_view key, bool value)
    {
        emitter_ << YAML::Key << std::string(key) << YAML::Value << value;
        return *this;
    }

    /// Writes a key with a list of strings.
    yaml_writer& texts(std::string_view key,
                       const std::vector<std::string>& values)
    {
        emitter_ << YAML::Key << std::string(key) << YAML::Value << YAML::Flow
                 << values;
        return *this;
    }

    /// Writes a key with a number.
    yaml_writer& pair(std::string_view key, std::uint64_t value)
    {
        emitter_ << YAML::Key << std::string(key) << YAML::Value << value;
        return *this;
    }

    /// Writes a key with a mapping whose content the callback writes.
    template <typename Fill>
    yaml_writer& mapping(std::string_view key, Fill fill)
    {
        emitter_ << YAML::Key << std::string(key) << YAML::Value
                 << YAML::BeginMap;
        fill();
        emitter_ << YAML::EndMap;
        return *this;
    }

    /// Writes a key with a list of mappings, one for each item.
    template <typename Item, typename Fill>
    yaml_writer& list(std::string_view key, const std::vector<Item>& items,
                      Fill fill)
    {
        emitter_ << YAML::Key << std::string(key) << YAML::Value
                 << YAML::BeginSeq;
        for (const Item& item : items)
        {
            emitter_ << YAML::Flow << YAML::BeginMap;
            fill(item);
            emitter_ << YAML::EndMap;
        }
        emitter_ << YAML::EndSeq;
        return *this;
    }

    /// Ends the document and returns it with a final newline.
    std::string text()
    {
        emitter_ << YAML::EndMap;
        return std::string(emitter_.c_str()) + "\n";
    }

private:
    YAML::Emitter emitter_;
};

/// Writes the settings of a control instance into the current mapping.
inline void write(yaml_writer& writer, const control_member& value)
{
    writer.pair("id", value.id)
        .pair("name", value.name)
        .pair("http", value.http);
}

/// Writes log settings into the current mapping.
inline void write(yaml_writer& writer, const log_settings& value)
{
    writer.pair("level", std::string(name_of(value.level)))
        .pair("file", value.file);
}

} // namespace boragestand::settings
