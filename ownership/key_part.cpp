#include "ownership/key_part.h"

#include <algorithm>
#include <utility>

namespace lagoonhitch {

void addPart(std::vector<KeyPart> &Parts, const KeyRange &Range,
             const KeyOwnershipInputs &Inputs) {
  KeyPart Added;
  Added.Range_ = Range;
  const std::map<KeyId, double> &Rates = *Inputs.KeyRates_;
  for (auto At = Rates.lower_bound(Range.First_);
       At != Rates.end() && At->first <= Range.Last_; ++At) {
    Added.Keys_.push_back({At->first, At->second * Inputs.KeyRateFactor_});
    Added.Rate_ += Added.Keys_.back().Rate_;
  }
  if (!Added.Keys_.empty())
    Parts.push_back(std::move(Added));
}

void sortParts(std::vector<KeyPart> &Parts) {
  std::stable_sort(Parts.begin(), Parts.end(),
                   [](const KeyPart &Left, const KeyPart &Right) {
                     return Left.Rate_ > Right.Rate_;
                   });
}

KeyPart takeFront(KeyPart &From, double Target, double Max) {
  KeyPart Taken;
  std::size_t Count = 0;
  for (; Count < From.Keys_.size(); ++Count) {
    const double With = Taken.Rate_ + From.Keys_[Count].Rate_;
    const bool Fits =
        With <= Target || (With <= Max && With - Target < Target - Taken.Rate_);
    if (Count > 0 && !Fits)
      break;
    Taken.Rate_ = With;
  }
  const auto Split = From.Keys_.begin() + static_cast<std::ptrdiff_t>(Count);
  Taken.Keys_.assign(From.Keys_.begin(), Split);
  const bool TakesAll = Split == From.Keys_.end();
  Taken.Range_ = {From.Range_.First_,
                  TakesAll ? From.Range_.Last_ : Split->Key_ - 1};
  From.Range_.First_ = Taken.Range_.Last_ + 1;
  From.Rate_ -= Taken.Rate_;
  From.Keys_.erase(From.Keys_.begin(), Split);
  return Taken;
}

} // namespace lagoonhitch
