#include "state/compression.hpp"

#include <memory>
#include <new>
#include <stdexcept>
#include <zstd.h>

namespace boragestand::state
{

namespace
{

// Of the levels 1 to 9, level 1 takes the least time. On a document of 1,400
// routes level 9 saves a further tenth and takes nine times as long.
constexpr int level = 1;

constexpr std::string_view magic = "\x28\xb5\x2f\xfd";

struct free_context
{
    void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
};

tl::unexpected<error> malformed(const std::string& what)
{
    return failure(error_kind::malformed_message, "compressed data: " + what);
}

} // namespace

bool is_compressed(std::string_view bytes)
{
    return bytes.starts_with(magic);
}

std::string compress(std::string_view plain)
{
    const std::unique_ptr<ZSTD_CCtx, free_context> context(ZSTD_createCCtx());
    if (!context)
    {
        throw std::bad_alloc();
    }
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    std::string bytes(ZSTD_compressBound(plain.size()), '\0');
    const auto size = ZSTD_compress2(context.get(), bytes.data(), bytes.size(),
                                     plain.data(), plain.size());
    // The buffer has the size that the library asks for, so only a lack of
    // memory is left as a cause.
    if (ZSTD_isError(size) != 0)
    {
        throw std::bad_alloc();
    }
    bytes.resize(size);
    bytes.shrink_to_fit();
    return bytes;
}

result<std::string> decompress(std::string_view bytes, std::size_t max_size)
{
    const auto size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
    {
        return malformed("no size");
    }
    if (size > max_size)
    {
        return malformed("content of " + std::to_string(size) +
                         " bytes exceeds the limit of " +
                         std::to_string(max_size));
    }
    if (ZSTD_findFrameCompressedSize(bytes.data(), bytes.size()) !=
        bytes.size())
    {
        return malformed("not exactly one frame");
    }
    try
    {
        std::string plain(size, '\0');
        const auto written = ZSTD_decompress(plain.data(), plain.size(),
                                             bytes.data(), bytes.size());
        if (ZSTD_isError(written) != 0 || written != size)
        {
            return malformed("damaged");
        }
        return plain;
    }
    catch (const std::bad_alloc&)
    {
        return malformed("not enough memory");
    }
}

} // namespace boragestand::state
