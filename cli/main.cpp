/// \file
/// The program lagoonhitch: the operators' command line.

int main() { return 2; }
