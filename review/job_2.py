"""A task's work: writes to a file, every 20 ms, that it runs, for so many seconds."""

import json
import os
import sys
import time

path, seconds = sys.argv[1], float(sys.argv[2])
last = time.monotonic() + seconds
with open(path, 'a', encoding='utf-8') as file:
    while (now := time.monotonic()) < last:
        row = {'at': now, 'pid': os.getpid(), 'number': os.environ.get('LILACDYKE_TASK_NUMBER')}
        print(json.dumps(row), file=file, flush=True)
        time.sleep(0.02)
