#!/usr/bin/env python3
"""Prints what each mechanism contributes to the worth that the bench reports: worth with all mechanisms
on minus worth without it, paired by site, day and seed, as a mean with a 95% interval (Student's t).

Usage: ablation_table.py RESULTS, with lines "SWITCH SITE DAY SEED WORTH" as ablate.sh writes them.
"""
import collections
import math
import statistics
import sys

# Two-sided 95% quantiles of Student's t, keyed by degrees of freedom. A missing key uses the next
# lower one; above 20 the t_quantile of the normal distribution is used.
STUDENT = {1: 12.71, 2: 4.30, 3: 3.18, 4: 2.78, 5: 2.57, 6: 2.45, 7: 2.36, 8: 2.31, 9: 2.26,
           10: 2.23, 12: 2.18, 15: 2.13, 20: 2.09}


def t_quantile(degrees):
    known = [key for key in STUDENT if key <= degrees]
    return STUDENT[max(known)] if degrees <= 20 else 1.96


def mean_with_interval(values):
    mean = statistics.mean(values)
    if len(values) < 2:
        return f"{mean:+.3f} (one pair)"
    half = t_quantile(len(values) - 1) * statistics.stdev(values) / math.sqrt(len(values))
    return f"{mean:+.3f} ± {half:.3f}"


def main():
    worth = collections.defaultdict(dict)
    missing = 0
    with open(sys.argv[1], encoding="utf-8") as lines:
        for line in lines:
            switch, site, day, seed, value = line.split()
            if value == "none":
                missing += 1
                continue
            worth[switch][(site, day, seed)] = float(value)
    baseline = worth.get("none", {})
    sites = sorted({key[0] for key in baseline})
    print("| mechanism | " + " | ".join(sites) + " |")
    print("|---" * (len(sites) + 1) + "|")
    for switch, values in worth.items():
        if switch == "none":
            continue
        cells = []
        for site in sites:
            pairs = [baseline[key] - values[key]
                     for key in baseline if key[0] == site and key in values]
            cells.append(mean_with_interval(pairs) if pairs else "not run")
        print(f"| `{switch}` | " + " | ".join(cells) + " |")
    counts = {site: sum(1 for key in baseline if key[0] == site) for site in sites}
    print("\nPairs per cell: " + ", ".join(f"{site} {count}" for site, count in counts.items())
          + f"; runs without a result: {missing}.")


if __name__ == "__main__":
    main()
