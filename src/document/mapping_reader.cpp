#include "document/mapping_reader.hpp"

#include "document/yaml_text.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace boragestand::document
{

namespace
{

std::string join(const auto& names)
{
    std::string text;
    for (const auto& name : names)
    {
        text += text.empty() ? "" : ", ";
        text += name;
    }
    return text;
}

/// yaml-cpp tags quoted scalars with "!"; a quoted number is a string.
bool is_quoted(const YAML::Node& node)
{
    return node.Tag() == "!";
}

bool is_name_character(unsigned char c)
{
    return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
}

} // namespace

std::optional<std::string> check_name(std::string_view text)
{
    const bool valid =
        !text.empty() && text.size() <= 63 &&
        std::isalnum(static_cast<unsigned char>(text.front())) != 0 &&
        std::all_of(text.begin(), text.end(), is_name_character);
    if (valid)
    {
        return std::nullopt;
    }
    return "a name of 1 to 63 letters, digits, '.', '_' and '-'";
}

std::optional<std::string> check_any_text(std::string_view)
{
    return std::nullopt;
}

mapping_reader::mapping_reader(const YAML::Node& node, std::string path,
                               fault_list& faults)
    : start_(position_of(node))
    , path_(std::move(path))
    , faults_(&faults)
    , is_mapping_(node.IsMap())
{
    if (!is_mapping_)
    {
        faults.add(start_, (path_.empty() ? "document" : path_) +
                               ": expected a mapping, found " + describe(node));
        return;
    }
    for (const auto& pair : node)
    {
        add_entry(pair.first, pair.second);
    }
}

void mapping_reader::add_entry(const YAML::Node& key, const YAML::Node& value)
{
    const position where = position_of(key);
    if (!key.IsScalar())
    {
        faults_->add(where, "expected a key, found " + describe(key));
        return;
    }
    if (find(key.Scalar()) != nullptr)
    {
        faults_->add(where, path_of(key.Scalar()) + ": key is given twice");
        return;
    }
    entries_.push_back({key.Scalar(), where, value});
}

const YAML::Node* mapping_reader::find(std::string_view key) const
{
    const auto found =
        std::find_if(entries_.begin(), entries_.end(),
                     [key](const entry& each) { return each.key == key; });
    return found == entries_.end() ? nullptr : &found->value;
}

bool mapping_reader::has(std::string_view key) const
{
    return find(key) != nullptr;
}

position mapping_reader::start() const
{
    return start_;
}

position mapping_reader::where(std::string_view key) const
{
    for (const entry& each : entries_)
    {
        if (each.key == key)
        {
            const position value = position_of(each.value);
            return each.value.IsNull() || value == position{} ? each.where
                                                              : value;
        }
    }
    return start_;
}

std::string mapping_reader::path_of(std::string_view key) const
{
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

void mapping_reader::add_fault(std::string_view key, const std::string& message)
{
    faults_->add(where(key), path_of(key) + ": " + message);
}

void mapping_reader::add_invalid_value(std::string_view key,
                                       const YAML::Node& node,
                                       std::string_view expected)
{
    add_fault(key, "expected " + std::string(expected) + ", found " +
                       describe(node));
}

const YAML::Node* mapping_reader::find_expected(std::string_view key,
                                                presence wanted)
{
    known_keys_.emplace_back(key);
    const YAML::Node* node = find(key);
    if (node == nullptr && wanted == presence::required && is_mapping_)
    {
        faults_->add(start_, path_of(key) + ": required key is missing");
    }
    return node;
}

const YAML::Node*
mapping_reader::find_expected_scalar(std::string_view key, presence wanted,
                                     std::string_view expected)
{
    const YAML::Node* node = find_expected(key, wanted);
    if (node == nullptr || node->IsScalar())
    {
        return node;
    }
    add_invalid_value(key, *node, expected);
    return nullptr;
}

bool mapping_reader::read_text(std::string_view key, presence wanted,
                               text_check check, std::string& target)
{
    const YAML::Node* node = find_expected_scalar(key, wanted, "a string");
    if (node == nullptr)
    {
        return false;
    }
    if (const auto expected = check(node->Scalar()))
    {
        add_invalid_value(key, *node, *expected);
        return false;
    }
    target = node->Scalar();
    return true;
}

bool mapping_reader::read_text(std::string_view key, presence wanted,
                               text_check check, located<std::string>& target)
{
    target.where = where(key);
    return read_text(key, wanted, check, target.value);
}

bool mapping_reader::read_number(std::string_view key, presence wanted,
                                 number_range range, std::uint64_t& target)
{
    const std::string expected = "a whole number from " +
                                 std::to_string(range.min) + " to " +
                                 std::to_string(range.max);
    const YAML::Node* node = find_expected_scalar(key, wanted, expected);
    if (node == nullptr)
    {
        return false;
    }
    const std::string& text = node->Scalar();
    std::uint64_t value = 0;
    const auto [end, status] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = status == std::errc() &&
                       end == text.data() + text.size() && !is_quoted(*node);
    if (!whole || value < range.min || value > range.max)
    {
        add_invalid_value(key, *node, expected);
        return false;
    }
    target = value;
    return true;
}

bool mapping_reader::read_flag(std::string_view key, presence wanted,
                               bool& target)
{
    const YAML::Node* node = find_expected_scalar(key, wanted, "true or false");
    if (node == nullptr)
    {
        return false;
    }
    const std::string& text = node->Scalar();
    if (is_quoted(*node) || (text != "true" && text != "false"))
    {
        add_invalid_value(key, *node, "true or false");
        return false;
    }
    target = text == "true";
    return true;
}

bool mapping_reader::read_choice(std::string_view key, presence wanted,
                                 std::span<const std::string_view> names,
                                 std::size_t& target)
{
    const std::string expected = "one of " + join(names);
    const YAML::Node* node = find_expected_scalar(key, wanted, expected);
    if (node == nullptr)
    {
        return false;
    }
    const auto found = std::find(names.begin(), names.end(), node->Scalar());
    if (found == names.end())
    {
        add_invalid_value(key, *node, expected);
        return false;
    }
    target = static_cast<std::size_t>(found - names.begin());
    return true;
}

bool mapping_reader::read_list(
    std::string_view key, presence wanted,
    const std::function<void(const YAML::Node&, const std::string&)>& item)
{
    const YAML::Node* node = find_expected(key, wanted);
    if (node == nullptr)
    {
        return false;
    }
    // A settings template leaves a list without entries null.
    if (wanted == presence::optional && node->IsNull())
    {
        return false;
    }
    if (!node->IsSequence())
    {
        add_invalid_value(key, *node, "a list");
        return false;
    }
    std::size_t index = 0;
    for (const auto& each : *node)
    {
        item(each, path_of(key) + "[" + std::to_string(index) + "]");
        ++index;
    }
    return true;
}

std::optional<mapping_reader> mapping_reader::read_mapping(std::string_view key,
                                                           presence wanted)
{
    const YAML::Node* node = find_expected(key, wanted);
    if (node == nullptr)
    {
        return std::nullopt;
    }
    if (!node->IsMap())
    {
        add_invalid_value(key, *node, "a mapping");
        return std::nullopt;
    }
    return mapping_reader(*node, path_of(key), *faults_);
}

void mapping_reader::finish()
{
    for (const entry& each : entries_)
    {
        if (std::find(known_keys_.begin(), known_keys_.end(), each.key) ==
            known_keys_.end())
        {
            faults_->add(each.where, path_of(each.key) +
                                         ": unknown key; expected one of " +
                                         join(known_keys_));
        }
    }
}

} // namespace boragestand::document
