#include "base/metrics_text.hpp"

#include <algorithm>

namespace boragestand
{

namespace
{

std::string format_seconds(double seconds)
{
    auto text = std::to_string(seconds);
    text.erase(text.find_last_not_of('0') + 1);
    return text.back() == '.' ? text + '0' : text;
}

} // namespace

void append_header(std::string& text, const std::string& name,
                   const std::string& help, const char* type)
{
    text += "# HELP " + name + ' ' + help + '\n';
    text += "# TYPE " + name + ' ' + type + '\n';
}

void append_counter(std::string& text, const std::string& name,
                    const std::string& help, std::uint64_t value)
{
    append_header(text, name, help, "counter");
    text += name + ' ' + std::to_string(value) + '\n';
}

void append_gauge(std::string& text, const std::string& name,
                  const std::string& help, std::uint64_t value)
{
    append_header(text, name, help, "gauge");
    text += name + ' ' + std::to_string(value) + '\n';
}

void duration_histogram::add(duration value)
{
    const auto bound =
        std::find_if(bounds_ms.begin(), bounds_ms.end(),
                     [value](int bound_ms)
                     { return value <= std::chrono::milliseconds(bound_ms); });
    ++counts_[static_cast<std::size_t>(bound - bounds_ms.begin())];
    ++total_;
    sum_ += value;
}

void duration_histogram::append_to(std::string& text, const std::string& name,
                                   const std::string& help) const
{
    append_header(text, name, help, "histogram");
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < bounds_ms.size(); ++i)
    {
        cumulative += counts_[i];
        text += name + "_bucket{le=\"" + format_seconds(bounds_ms[i] / 1000.0) +
                "\"} " + std::to_string(cumulative) + '\n';
    }
    text += name + "_bucket{le=\"+Inf\"} " + std::to_string(total_) + '\n';
    text += name + "_sum " +
            format_seconds(std::chrono::duration<double>(sum_).count()) + '\n';
    text += name + "_count " + std::to_string(total_) + '\n';
}

} // namespace boragestand
