#pragma once

namespace citronford {

/// Builds one visitor for `std::visit` from several lambdas.
template <class... Visitors> struct overloaded : Visitors... { using Visitors::operator()...; };
template <class... Visitors> overloaded(Visitors...) -> overloaded<Visitors...>;

} // namespace citronford
