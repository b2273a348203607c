#include "platform/soak/soak_response.h"

#include <numeric>

namespace dotterel::soak {

namespace {

std::size_t totalSize(const std::vector<std::string> &parts)
{
    return std::accumulate(
            parts.begin(), parts.end(), std::size_t{0},
            [](std::size_t sum, const std::string &part) { return sum + part.size(); });
}

std::string chunk(const std::string &bytes)
{
    std::string size(16, '\0');
    size.resize(
            static_cast<std::size_t>(std::snprintf(size.data(), size.size(), "%zx", bytes.size())));
    return size + "\r\n" + bytes + "\r\n";
}

} // namespace

SoakResponse makeSoakResponse(const HttpHeaders &headers, const std::vector<std::string> &parts,
                              bool isStream, ResponseBreak wantedBreak, RandomSource &random)
{
    constexpr BodyFraming Framings[] = {BodyFraming::Length, BodyFraming::Chunks,
                                        BodyFraming::Connection};
    const BodyFraming framing = Framings[random.nextBelow(3)];
    ResponseBreak responseBreak = parts.empty() ? ResponseBreak::None : wantedBreak;
    // Without a length or chunks, a plain response that ends in order is whole.
    if (responseBreak == ResponseBreak::InOrder && !isStream && framing == BodyFraming::Connection)
        responseBreak = ResponseBreak::Reset;
    std::vector<std::string> sentParts = parts;
    if (responseBreak != ResponseBreak::None) {
        sentParts.resize(1 + random.nextBelow(parts.size()));
        std::string &tornPart = sentParts.back();
        tornPart.resize(1 + random.nextBelow(tornPart.size() - 1));
    }
    // The framing of a stream that is torn in order may be whole all the same.
    const bool framingIsWhole =
            responseBreak == ResponseBreak::None
            || (responseBreak == ResponseBreak::InOrder && isStream && random.nextDouble() < 0.7);

    SoakResponse response;
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (const auto &[name, value] : headers)
        head.append(name).append(": ").append(value).append("\r\n");
    if (framing == BodyFraming::Length)
        head += "Content-Length: " + std::to_string(totalSize(framingIsWhole ? sentParts : parts))
                + "\r\n";
    else if (framing == BodyFraming::Chunks)
        head += "Transfer-Encoding: chunked\r\n";
    response.pieces.push_back(head + "\r\n");
    for (const std::string &part : sentParts)
        response.pieces.push_back(framing == BodyFraming::Chunks ? chunk(part) : part);
    if (framing == BodyFraming::Chunks && framingIsWhole)
        response.pieces.emplace_back("0\r\n\r\n");
    response.resets = responseBreak == ResponseBreak::Reset;
    response.endsConnection = framing == BodyFraming::Connection || !framingIsWhole;
    return response;
}

} // namespace dotterel::soak
