#include "protocol/upstream_record.hpp"

namespace boragestand::protocol
{

upstream_id upstream_id_of(std::string_view name)
{
    return upstream_id{static_cast<std::uint32_t>(hash_text(name))};
}

} // namespace boragestand::protocol
