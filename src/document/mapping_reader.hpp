#pragma once

#include "document/fault_list.hpp"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace boragestand::document
{

/// Whether a key must be present.
enum class presence
{
    required,
    optional
};

/// Inclusive range of the numbers that a key accepts.
struct number_range
{
    std::uint64_t min{0};
    std::uint64_t max{0};
};

/// Validates the text of a value; returns what was expected if it is invalid.
using text_check = std::optional<std::string> (*)(std::string_view text);

/// Accepts 1 to 63 letters, digits, '.', '_' and '-', the first a letter or
/// digit.
std::optional<std::string> check_name(std::string_view text);

/// Accepts any text.
std::optional<std::string> check_any_text(std::string_view text);

/// Reads a YAML mapping key by key. Each read function either stores a value
/// and returns true, or leaves the target unchanged and returns false. Invalid
/// values and missing required keys add a fault. finish() reports unknown keys,
/// which are those that no read function was called with.
class mapping_reader
{
public:
    /// path identifies the mapping in messages, such as "limits"; empty for
    /// the whole document.
    mapping_reader(const YAML::Node& node, std::string path,
                   fault_list& faults);

    /// Reads a string.
    bool read_text(std::string_view key, presence wanted, text_check check,
                   std::string& target);
    bool read_text(std::string_view key, presence wanted, text_check check,
                   located<std::string>& target);

    /// Reads a whole decimal number.
    bool read_number(std::string_view key, presence wanted, number_range range,
                     std::uint64_t& target);

    /// Reads a number into a smaller integer type, which must be able to hold
    /// the range, or into the value of an identity.
    template <typename Integer>
    bool read_integer(std::string_view key, presence wanted, number_range range,
                      Integer& target)
    {
        std::uint64_t wide = 0;
        if (!read_number(key, wanted, range, wide))
        {
            return false;
        }
        target = static_cast<Integer>(wide);
        return true;
    }

    /// Reads true or false.
    bool read_flag(std::string_view key, presence wanted, bool& target);

    /// Reads one of the given names and stores its index.
    bool read_choice(std::string_view key, presence wanted,
                     std::span<const std::string_view> names,
                     std::size_t& target);

    /// Calls item for each element of a list, with the path of the element.
    bool read_list(std::string_view key, presence wanted,
                   const std::function<void(const YAML::Node&,
                                            const std::string& path)>& item);

    /// Returns a reader of a nested mapping.
    std::optional<mapping_reader> read_mapping(std::string_view key,
                                               presence wanted);

    /// Whether the key is present, even if its value is null or invalid.
    bool has(std::string_view key) const;

    /// Position of the value of a key, of the key itself if the value is null,
    /// or of the mapping if the key is missing.
    position where(std::string_view key) const;

    /// Position of the mapping.
    position start() const;

    /// Adds a fault at the value of a key; the message starts with its path.
    void add_fault(std::string_view key, const std::string& message);

    /// Adds a fault for each unknown key.
    void finish();

private:
    const YAML::Node* find(std::string_view key) const;
    const YAML::Node* find_expected(std::string_view key, presence wanted);
    const YAML::Node* find_expected_scalar(std::string_view key,
                                           presence wanted,
                                           std::string_view expected);
    void add_invalid_value(std::string_view key, const YAML::Node& node,
                           std::string_view expected);
    std::string path_of(std::string_view key) const;
    void add_entry(const YAML::Node& key, const YAML::Node& value);

    struct entry
    {
        std::string key;
        position where;
        YAML::Node value;
    };

    position start_;
    std::string path_;
    fault_list* faults_;
    std::vector<entry> entries_;
    std::vector<std::string> known_keys_;
    bool is_mapping_{false};
};

} // namespace boragestand::document
