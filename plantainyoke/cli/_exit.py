"""Exit codes of both programs; argparse exits with 2 on wrong usage."""

EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2
