#include "base/log_line.hpp"

#include <algorithm>

namespace boragestand
{

namespace
{

bool needs_quotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(),
                                        [](unsigned char c) {
                                            return c <= ' ' || c == '"' ||
                                                   c == '=' || c == '\\' ||
                                                   c == 0x7f;
                                        });
}

void append_escaped(std::string& text, unsigned char c)
{
    static constexpr char hex_digits[] = "0123456789abcdef";
    if (c == '"' || c == '\\')
    {
        text += '\\';
        text += static_cast<char>(c);
        return;
    }
    if (c >= ' ' && c != 0x7f)
    {
        text += static_cast<char>(c);
        return;
    }
    text += "\\x";
    text += hex_digits[c >> 4];
    text += hex_digits[c & 0xf];
}

} // namespace

log_line::log_line(std::string_view event)
{
    with("event", event);
}

log_line& log_line::with(std::string_view key, std::string_view value)
{
    if (!needs_quotes(value))
    {
        return append_raw(key, value);
    }
    std::string quoted = "\"";
    for (const char c : value)
    {
        append_escaped(quoted, static_cast<unsigned char>(c));
    }
    quoted += '"';
    return append_raw(key, quoted);
}

log_line& log_line::with(std::string_view key, const char* value)
{
    return with(key, std::string_view(value));
}

log_line& log_line::with(std::string_view key, bool value)
{
    return append_raw(key, value ? "true" : "false");
}

log_line& log_line::append_raw(std::string_view key, std::string_view value)
{
    if (!text_.empty())
    {
        text_ += ' ';
    }
    text_ += key;
    text_ += '=';
    text_ += value;
    return *this;
}

} // namespace boragestand
