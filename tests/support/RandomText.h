#pragma once

#include <cstdint>
#include <cstdlib>
#include <rapidcheck.h>
#include <string>
#include <utility>
#include <vector>

namespace banyanlock
{

/// Makes the properties of a test program use the same seed in each run, unless RC_PARAMS sets another one.
struct FixedPropertySeed {
    FixedPropertySeed()
    {
        ::setenv("RC_PARAMS", "seed=41", 0);
    }
};

/// @return A generator of texts of any bytes.
inline rc::Gen<std::string> anyBytes()
{
    return rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

/// @param codePoint A Unicode scalar value.
/// @return Its UTF-8 encoding.
inline std::string utf8Of(std::uint32_t codePoint)
{
    const auto tail = [&](unsigned shift) {
        return static_cast<char>(0x80U | ((codePoint >> shift) & 0x3FU));
    };
    if (codePoint < 0x80U) {
        return {static_cast<char>(codePoint)};
    }
    if (codePoint < 0x800U) {
        return {static_cast<char>(0xC0U | (codePoint >> 6U)), tail(0)};
    }
    if (codePoint < 0x10000U) {
        return {static_cast<char>(0xE0U | (codePoint >> 12U)), tail(6), tail(0)};
    }
    return {static_cast<char>(0xF0U | (codePoint >> 18U)), tail(12), tail(6), tail(0)};
}

/// @param maxBytes Size limit; every fourth text comes close to it.
/// @return A generator of texts that a JSON string can hold, with many zero characters.
inline rc::Gen<std::string> anyJsonText(std::size_t maxBytes)
{
    using rc::gen::inRange;
    const auto codePoint
        = rc::gen::oneOf(rc::gen::just(std::uint32_t{0}), inRange<std::uint32_t>(0, 0x80), inRange<std::uint32_t>(0x80, 0x800),
                         inRange<std::uint32_t>(0x800, 0xD800), inRange<std::uint32_t>(0xE000, 0x110000));
    return rc::gen::map(rc::gen::pair(rc::gen::container<std::vector<std::uint32_t>>(codePoint), inRange(0, 4)),
                        [maxBytes](const std::pair<std::vector<std::uint32_t>, int> &parts) {
                            std::string once;
                            for (const std::uint32_t each : parts.first) {
                                once += utf8Of(each);
                            }
                            std::string text = once.substr(0, once.size() <= maxBytes ? once.size() : 0);
                            while (parts.second == 0 && !once.empty() && text.size() + once.size() <= maxBytes) {
                                text += once;
                            }
                            return text;
                        });
}

} // namespace banyanlock
