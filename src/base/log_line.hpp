#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace boragestand
{

/// Builds one log line of key=value pairs. Values that hold spaces, quotes,
/// control characters or '=' are quoted and escaped, so a line can be parsed
/// back into the same pairs.
class log_line
{
public:
    /// Starts the line with event=NAME.
    explicit log_line(std::string_view event);

    /// Appends a pair with a string value.
    log_line& with(std::string_view key, std::string_view value);

    /// Appends a pair with a string value. Without this overload a string
    /// literal would convert to bool.
    log_line& with(std::string_view key, const char* value);

    /// Appends a pair with true or false.
    log_line& with(std::string_view key, bool value);

    /// Appends a pair with a number.
    template <typename Number>
    requires(std::integral<Number> ||
             std::floating_point<Number>) log_line& with(std::string_view key,
                                                         Number value)
    {
        return append_raw(key, std::to_string(value));
    }

    /// The line so far, without a newline.
    const std::string& text() const { return text_; }

private:
    log_line& append_raw(std::string_view key, std::string_view value);

    std::string text_;
};

} // namespace boragestand
