#pragma once

#include "request.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace boragestand::standins
{

/// Checks that a response is complete and belongs to the expected request and
/// service.
class response_check
{
public:
    enum class status
    {
        incomplete,
        complete,
        shed,          ///< the upstream reported that it did not run it
        wrong_service, ///< response of another service
        wrong_response ///< response to another request, or corrupt
    };

    /// Expects the response to a request.
    explicit response_check(request requested)
        : requested_(std::move(requested))
    {
    }

    /// Checks the next bytes. A status other than incomplete is final.
    status add(std::string_view bytes);

    const request& requested() const { return requested_; }

private:
    status check_head();

    request requested_;
    status status_{status::incomplete};
    bool has_head_{false};
    std::uint32_t checked_{0};
    std::string input_;
};

} // namespace boragestand::standins
