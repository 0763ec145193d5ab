#pragma once

#include "program.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace boragestand::standins
{

/// Properties that an upstream announces to entry instances.
struct announcement
{
    std::string service;
    std::string name;
    transport::endpoint address; ///< receives Geneve datagrams
    std::uint32_t slots{2};
    std::uint32_t connections{2000};
    std::uint32_t weight{100};
    std::uint32_t warmup_ms{0};
    std::uint32_t lease_ms{3000};
    std::string health_url;
    std::string load_url;
};

/// Announces an upstream to one entry instance and renews the lease. Switches
/// to the next instance if one does not confirm.
class announcer
{
public:
    announcer(program& host, announcement content,
              std::vector<transport::endpoint> entries);

    /// Announces that the upstream takes no new work.
    void drain();

    /// Withdraws the upstream; the callback runs once that is confirmed or all
    /// instances have been tried.
    void withdraw(std::function<void()> done);

    /// Whether an entry instance has accepted an announcement.
    bool is_announced() const { return announced_; }

private:
    void send();
    void send_withdrawal(std::size_t attempts, std::function<void()> done);
    void use_next_entry();
    std::string next_body();

    program& host_;
    announcement content_;
    std::vector<transport::endpoint> entries_;
    std::size_t current_{0};
    std::unique_ptr<transport::http2_client> client_;
    std::uint64_t incarnation_; ///< start time, milliseconds since 1970
    std::uint64_t sequence_{0};
    bool draining_{false};
    bool withdrawn_{false};
    bool announced_{false};
    transport::subscription renewal_;
};

} // namespace boragestand::standins
