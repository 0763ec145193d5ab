#include "coordination/upstream_checks.hpp"

namespace boragestand::coordination
{

namespace
{

// A page of 200 records with the longest names takes 0.1 MB.
constexpr std::size_t max_name_size = 255;

// New flows are shared by slots. An upstream with more than a machine can serve
// would draw nearly all of them.
constexpr std::uint32_t max_slots = 65535;

// Integers up to this size pass through all JSON writers unchanged (RFC 8259,
// section 6).
constexpr std::uint64_t max_number = (std::uint64_t{1} << 53) - 1;

constexpr std::uint32_t first_multicast_address = 0xe0000000;

bool is_valid_name(const std::string& name)
{
    return !name.empty() && name.size() <= max_name_size;
}

bool is_unicast(const transport::endpoint& address)
{
    return address.address != 0 && address.address < first_multicast_address &&
           address.port != 0;
}

tl::unexpected<error> invalid(const char* what)
{
    return failure(error_kind::invalid_argument, what);
}

} // namespace

result<void> check_upstream(const registered_upstream& record)
{
    if (!is_valid_name(record.service))
    {
        return invalid("the service must have a name of 1 to 255 bytes");
    }
    if (!is_valid_name(record.data_centre))
    {
        return invalid("the data centre must have a name of 1 to 255 bytes");
    }
    if (!is_unicast(record.address))
    {
        return invalid("the address must be a unicast address with a port");
    }
    if (record.slots > max_slots)
    {
        return invalid("an upstream can have up to 65535 slots");
    }
    if (record.incarnation > max_number || record.sequence > max_number)
    {
        return invalid("incarnation and sequence must be below 2^53");
    }
    return {};
}

} // namespace boragestand::coordination
