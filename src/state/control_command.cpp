#include "state/control_command.hpp"

#include "state/command_fields.hpp"
#include "state/release_note.hpp"

#include <initializer_list>
#include <optional>

namespace boragestand::state
{

namespace
{

struct sized_field
{
    std::string_view name;
    std::size_t size;
    std::size_t bound;
};

std::optional<error>
find_oversized_field(std::initializer_list<sized_field> fields)
{
    for (const sized_field& field : fields)
    {
        if (field.size > field.bound)
        {
            return error{error_kind::invalid_argument,
                         std::string(field.name) + " has " +
                             std::to_string(field.size) + " bytes; at most " +
                             std::to_string(field.bound) + " are accepted"};
        }
    }
    return std::nullopt;
}

std::optional<error> check_sizes(const submit_note& action)
{
    return find_oversized_field(
        {{"release note", action.text.size(), max_note_size}});
}

std::optional<error> check_sizes(const record_agreement& action)
{
    return find_oversized_field(
        {{"director", action.director.size(), max_identifier_size},
         {"service", action.service.size(), max_identifier_size},
         {"rule", action.rule.size(), max_identifier_size}});
}

std::optional<error> check_sizes(const withdraw_agreement&)
{
    return std::nullopt;
}

std::optional<error> check_sizes(const set_drain& action)
{
    return find_oversized_field(
        {{"service", action.service.size(), max_identifier_size},
         {"upstream", action.upstream.size(), max_identifier_size}});
}

std::optional<error> check_sizes(const command& value)
{
    if (value.request.client.empty())
    {
        return error{error_kind::invalid_argument, "client id is empty"};
    }
    if (auto fault = find_oversized_field(
            {{"client id", value.request.client.size(), max_identifier_size}}))
    {
        return fault;
    }
    return std::visit([](const auto& action) { return check_sizes(action); },
                      value.action);
}

struct error_kind_visitor
{
    std::optional<error_kind> operator()(const note_conflict&) const
    {
        return error_kind::conflict;
    }

    std::optional<error_kind> operator()(const note_invalid&) const
    {
        return error_kind::invalid_release_note;
    }

    std::optional<error_kind> operator()(const command_failed& outcome) const
    {
        return outcome.cause.kind;
    }

    std::optional<error_kind> operator()(const auto&) const
    {
        return std::nullopt;
    }
};

} // namespace

std::optional<error_kind> error_kind_of(const command_outcome& outcome)
{
    return std::visit(error_kind_visitor{}, outcome);
}

result<std::vector<std::byte>> encode_command(const command& value)
{
    if (const auto fault = check_sizes(value))
    {
        return tl::unexpected<error>(*fault);
    }
    return codec::encode(value);
}

result<command> decode_command(std::span<const std::byte> bytes)
{
    auto value = codec::decode<command>(bytes, max_command_size, "command");
    if (value && check_sizes(*value))
    {
        return failure(error_kind::malformed_message,
                       "command has a field that is too long");
    }
    return value;
}

} // namespace boragestand::state
