#!/usr/bin/env bash
# Plots bench.csv and writes the plots and a table to out/report.html.
set -eu
cd "$(dirname "$0")/.."
[ -s bench.csv ] || { echo "bench.csv is missing: run make bench" >&2; exit 1; }
mkdir -p out
rows () { awk -F, -v m="$1" '$1 == m {printf "\"%s\"\t%s\t%s\n", $2, $4, $5}' bench.csv; }
plot () { # FILE MEASURE LABEL BASELINE-NAME
  rows "$2" > "out/$1.tsv"
  [ -s "out/$1.tsv" ] || return 0
  gnuplot << G
set terminal svg size 560,360 font "sans,11"
set output "out/$1.svg"
set title "$2"
set ylabel "$3"
set style data histograms
set style fill solid 0.8 border -1
set boxwidth 0.8
set grid ytics
set key outside bottom center horizontal
set yrange [0:*]
set xtics rotate by -18
plot "out/$1.tsv" using 2:xtic(1) title "this version" lc rgb "#2a6f97", \
     "" using 3 title "$4" lc rgb "#c9ada7"
G
}
plot goodput "goodput of the possible" "share" "no targets"
plot routing "prompt tokens computed" "tokens a request" "baseline"
plot bytes "membership bytes" "bytes a second a daemon" "at 8 daemons"
plot wave "recomputed tokens in a wave" "tokens" "not moved"
plot cost "price an hour" "units" "baseline"
plot spread "revision in force everywhere" "s" "none"
# Score lost per day, by part of the benefit and by price, of the newest scores
# in the journal: one bar per day.
"${BUILD:-build}/tests/bench/worth" journal/2*.json > out/worth.tsv
gnuplot << G
set terminal svg size 1160,620 font "sans,11"
set output "out/worth.svg"
set title "score lost per day, by part of the benefit and by price"
set ylabel "share of the full score"
set style data histograms
set style histogram rowstacked
set style fill solid 0.85
set boxwidth 0.8
set grid ytics
set key outside right
set yrange [0:*]
set xtics rotate by -50 font ",8"
set datafile separator "\t"
plot for [i=3:18] "out/worth.tsv" using i:xtic(1) title columnheader(i)
G
{
  echo '<!doctype html><meta charset="utf-8"><title>camphorarch: benchmarks</title>'
  echo '<style>body{font:15px sans-serif;max-width:1180px;margin:2em auto}img{margin:6px}'
  echo 'td,th{padding:3px 10px;text-align:left}tr:nth-child(even){background:#f3f3f3}</style>'
  echo '<h1>Benchmark results</h1><p>Times and counts of the simulation; baselines are from the same run.</p>'
  for file in out/*.svg; do echo "<img src=\"$(basename "$file")\" alt=\"\">"; done
  echo '<table><tr><th>measure</th><th>variant</th><th>unit</th><th>value</th><th>baseline</th></tr>'
  awk -F, 'NR > 1 {printf "<tr><td>%s</td><td>%s</td><td>%s</td><td>%.3f</td><td>%s</td></tr>\n", $1, $2, $3, $4, ($5 > 0 ? sprintf("%.3f", $5) : "")}' bench.csv
  echo '</table>'
} > out/report.html
echo "out/report.html"
