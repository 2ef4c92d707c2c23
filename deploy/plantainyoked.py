"""Start ``plantainyoked`` from a checkout.

``python -m`` imports further modules to find the program, which lengthens the start. A
script's own directory is first on the import path; the checkout has to be there.
"""

import os
import sys

sys.path[0] = os.path.dirname(sys.path[0])

from plantainyoke.cli.daemon import main  # noqa: E402

sys.exit(main())
