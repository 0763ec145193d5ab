#include "document/yaml_text.hpp"

#include <sstream>

namespace boragestand::document
{

namespace
{

/// Longest part of an invalid scalar that a message quotes.
constexpr std::size_t max_quoted_size = 40;

position position_of(const YAML::Mark& mark)
{
    if (mark.is_null())
    {
        return {};
    }
    return {static_cast<std::uint32_t>(mark.line + 1),
            static_cast<std::uint32_t>(mark.column + 1)};
}

} // namespace

position position_of(const YAML::Node& node)
{
    return position_of(node.Mark());
}

std::string describe(const YAML::Node& node)
{
    if (!node.IsDefined() || node.IsNull())
    {
        return "nothing";
    }
    if (node.IsMap())
    {
        return "a mapping";
    }
    if (node.IsSequence())
    {
        return "a list";
    }
    const std::string& text = node.Scalar();
    return text.size() <= max_quoted_size
               ? "\"" + text + "\""
               : "\"" + text.substr(0, max_quoted_size) + "...\"";
}

std::optional<YAML::Node> parse_yaml(std::string_view text,
                                     std::size_t max_size, fault_list& faults)
{
    if (text.size() > max_size)
    {
        faults.add({1, 1}, "document has " + std::to_string(text.size()) +
                               " bytes; at most " + std::to_string(max_size) +
                               " are accepted");
        return std::nullopt;
    }
    try
    {
        std::vector<YAML::Node> documents = YAML::LoadAll(std::string(text));
        if (documents.size() == 1)
        {
            return documents.front();
        }
        faults.add({1, 1}, "expected one YAML document, found " +
                               std::to_string(documents.size()));
    }
    catch (const YAML::Exception& failure)
    {
        faults.add(position_of(failure.mark), "not valid YAML: " + failure.msg);
    }
    catch (const std::exception& failure)
    {
        faults.add({1, 1}, std::string("not valid YAML: ") + failure.what());
    }
    return std::nullopt;
}

} // namespace boragestand::document
