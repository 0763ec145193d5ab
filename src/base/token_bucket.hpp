#pragma once

#include "base/time.hpp"

#include <algorithm>

namespace boragestand
{

/// Token bucket that limits a rate and allows bursts. Starts full.
class token_bucket
{
public:
    /// rate is in tokens per second, burst in tokens.
    token_bucket(double rate, double burst)
        : rate_(rate), burst_(burst), tokens_(burst)
    {
    }

    /// Takes the amount and returns true if it is available, else takes
    /// nothing.
    bool take(double amount, time_point now)
    {
        refill(now);
        if (tokens_ < amount)
        {
            return false;
        }
        tokens_ -= amount;
        return true;
    }

    /// Changes the rate; the tokens stay.
    void set_rate(double rate, time_point now)
    {
        refill(now);
        rate_ = rate;
    }

    /// Number of tokens available now.
    double available(time_point now)
    {
        refill(now);
        return tokens_;
    }

private:
    void refill(time_point now)
    {
        if (now <= last_)
        {
            return;
        }
        const std::chrono::duration<double> passed = now - last_;
        tokens_ = std::min(burst_, tokens_ + rate_ * passed.count());
        last_ = now;
    }

    double rate_;
    double burst_;
    double tokens_;
    time_point last_{};
};

} // namespace boragestand
