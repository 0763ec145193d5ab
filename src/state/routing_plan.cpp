#include "state/routing_plan.hpp"

#include "state/compression.hpp"
#include "state/plan_check.hpp"
#include "state/routing_plan_fields.hpp"

namespace boragestand::state
{

namespace
{

std::string to_string(const std::vector<std::byte>& bytes)
{
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

std::span<const std::byte> to_bytes(std::string_view text)
{
    return std::as_bytes(std::span(text.data(), text.size()));
}

} // namespace

std::string_view to_text(request_kind kind)
{
    switch (kind)
    {
    case request_kind::idempotent:
        return "idempotent";
    case request_kind::non_idempotent:
        return "non_idempotent";
    case request_kind::download:
        return "download";
    case request_kind::upload:
        return "upload";
    case request_kind::unknown:
        break;
    }
    return "unknown";
}

result<void> check_plan(const routing_plan& plan)
{
    const auto errors = find_plan_errors(plan);
    if (!errors.empty())
    {
        return failure(error_kind::invalid_argument, to_string(errors.front()));
    }
    return {};
}

std::string encode_plan(const submitted_plan& plan)
{
    return compress(to_string(codec::encode(plan)));
}

std::string encode_plan(const routing_plan& plan)
{
    return to_string(codec::encode(plan));
}

result<submitted_plan> decode_submitted_plan(std::string_view bytes)
{
    const auto decode = [](std::string_view plain)
    {
        return codec::decode<submitted_plan>(
            to_bytes(plain), protocol::max_agreement_message_size, "plan");
    };
    // Plans of versions before compression start with an array header.
    return is_compressed(bytes)
               ? decompress(bytes, protocol::max_agreement_message_size)
                     .and_then(decode)
               : decode(bytes);
}

result<routing_plan> decode_plan(std::string_view bytes)
{
    return codec::decode<routing_plan>(
        to_bytes(bytes), protocol::max_agreement_message_size, "plan");
}

plan_outcome plan_register::apply(submitted_plan plan)
{
    if (plan.plan.version <= current_->plan.version)
    {
        return plan_outcome::superseded;
    }
    current_ = std::make_shared<const submitted_plan>(std::move(plan));
    return plan_outcome::in_force;
}

} // namespace boragestand::state
