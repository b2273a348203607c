#include "transport/endpoint.h"

#include <arpa/inet.h>

namespace dotterel {

bool isIpAddress(const std::string &text)
{
    in6_addr number{};
    return inet_pton(AF_INET, text.c_str(), &number) == 1
           || inet_pton(AF_INET6, text.c_str(), &number) == 1;
}

} // namespace dotterel
