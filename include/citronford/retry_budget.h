#pragma once

namespace citronford {

/// Token bucket that limits the additional attempts (retries and hedges) of one service to a
/// fraction of its successful answers, so that an outage of the service adds no more attempts than
/// the tokens in reserve.
class retry_budget {
  public:
    /// `ratio` is the number of additional attempts that one success earns.
    void set_ratio(double ratio) { ratio_ = ratio; }

    void record_success();
    [[nodiscard]] bool available() const { return tokens_ >= 1; }
    /// Additional attempts that may currently be sent.
    [[nodiscard]] double tokens() const { return tokens_; }
    /// Spends one token; `available()` must be true.
    void spend() { tokens_ -= 1; }

  private:
    double ratio_ = 0.1;
    double tokens_ = 5; ///< Allows a few retries before the first success.
};

} // namespace citronford
