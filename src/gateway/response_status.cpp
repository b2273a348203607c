#include "gateway/response_status.h"

namespace dotterel {

namespace {

constexpr int SuccessStatusBegin = 200;
constexpr int SuccessStatusEnd = 300;
constexpr int ServerErrorStatusBegin = 500;

} // namespace

bool isSuccess(int status)
{
    return status >= SuccessStatusBegin && status < SuccessStatusEnd;
}

bool isServerError(int status)
{
    return status >= ServerErrorStatusBegin;
}

bool impliesNotRun(int status)
{
    constexpr int RequestTimeout = 408;
    constexpr int MisdirectedRequest = 421;
    constexpr int TooManyRequests = 429;
    constexpr int ServiceUnavailable = 503;
    return status == RequestTimeout || status == MisdirectedRequest || status == TooManyRequests
           || status == ServiceUnavailable;
}

} // namespace dotterel
