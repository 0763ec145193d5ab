#pragma once

#include <log4cplus/layout.h>

#include <string>

namespace boragestand::settings
{

/// Layout that prefixes each event with time, level and instance as key=value
/// pairs.
class key_value_layout : public log4cplus::Layout
{
public:
    explicit key_value_layout(std::string instance_pair);

    void formatAndAppend( // NOLINT(readability-identifier-naming)
        log4cplus::tostream& output,
        const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    std::string instance_pair_;
};

} // namespace boragestand::settings
