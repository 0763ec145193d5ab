#include "request.hpp"

#include "base/base.hpp"

#include <algorithm>
#include <array>
#include <sstream>

namespace boragestand::standins
{

namespace
{

constexpr std::array<std::string_view, 3> outcome_names{"OK", "SHED", "LATE"};

// Largest response body that a request may ask for.
constexpr std::uint32_t max_body_bytes = 16 * 1024 * 1024;

} // namespace

std::string to_line(const request& value)
{
    std::ostringstream line;
    line << "GET " << value.id << ' ' << value.service << ' ' << value.work_ms
         << ' ' << value.bytes << ' ' << (value.is_long ? "L " : "S ")
         << value.deadline_ms << '\n';
    return line.str();
}

std::string to_line(const response_head& value)
{
    std::ostringstream line;
    line << outcome_names[static_cast<std::size_t>(value.result)] << ' '
         << value.id << ' ' << value.service << ' ' << value.upstream << ' '
         << value.bytes << '\n';
    return line.str();
}

std::optional<request> parse_request(std::string_view line)
{
    std::istringstream words{std::string(line)};
    std::string verb;
    std::string length;
    request value;
    words >> verb >> value.id >> value.service >> value.work_ms >>
        value.bytes >> length >> value.deadline_ms;
    value.is_long = length == "L";
    const bool valid = words && verb == "GET" && value.bytes <= max_body_bytes;
    return valid ? std::optional(value) : std::nullopt;
}

std::optional<response_head> parse_response_head(std::string_view line)
{
    std::istringstream words{std::string(line)};
    std::string verb;
    response_head value;
    words >> verb >> value.id >> value.service >> value.upstream >> value.bytes;
    const auto name =
        std::find(outcome_names.begin(), outcome_names.end(), verb);
    if (!words || name == outcome_names.end())
    {
        return std::nullopt;
    }
    value.result = static_cast<outcome>(name - outcome_names.begin());
    return value;
}

std::string body_part(std::uint64_t id, std::uint32_t offset,
                      std::uint32_t size)
{
    std::string part(size, '\0');
    for (std::uint32_t i = 0; i < size; ++i)
    {
        const std::uint32_t position = offset + i;
        const std::uint64_t word = mix_hashes(id, position / 8);
        part[i] =
            static_cast<char>('a' + (word >> (8 * (position % 8)) & 0x0f));
    }
    return part;
}

std::optional<std::string> take_line(std::string& text)
{
    const std::size_t end = text.find('\n');
    if (end == std::string::npos)
    {
        return std::nullopt;
    }
    std::string line = text.substr(0, end);
    text.erase(0, end + 1);
    return line;
}

} // namespace boragestand::standins
