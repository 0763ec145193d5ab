#pragma once

#include "request.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace boragestand::standins
{

/// Checks that a response is whole and belongs to its own request and service.
class response_check
{
public:
    enum class verdict
    {
        incomplete,
        complete,
        shed,          ///< the upstream says that it was not run
        wrong_service, ///< the response of another service
        wrong_response ///< of another request, or damaged
    };

    /// Starts to wait for the response to a request.
    explicit response_check(request wanted) : wanted_(std::move(wanted)) {}

    /// Takes the next bytes. Once the verdict is not incomplete it stays.
    verdict add(std::string_view bytes);

    const request& wanted() const { return wanted_; }

private:
    verdict check_head();

    request wanted_;
    verdict verdict_{verdict::incomplete};
    bool has_head_{false};
    std::uint32_t checked_{0};
    std::string input_;
};

} // namespace boragestand::standins
