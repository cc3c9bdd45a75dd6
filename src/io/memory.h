#pragma once

#include <string>

// The memory of strings that hold heads and bodies.
namespace pistachiospur {

// Returns the memory of a string. Assigning an empty string, or `{}`, keeps it.
inline void freeMemory(std::string& it) { std::string().swap(it); }
// Bytes that a string takes beside its own object, also those that it does not use.
inline std::size_t heapBytes(const std::string& it)
{
    return it.capacity() > std::string().capacity() ? it.capacity() : 0;
}

} // namespace pistachiospur
