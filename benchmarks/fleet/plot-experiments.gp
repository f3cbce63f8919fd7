# Urgent p99 by case and policy, from the tables of experiments.py.
#
#   gnuplot benchmarks/fleet/plot-experiments.gp
#   gnuplot -e "folder='elsewhere'; users='talsperr'" …/plot-experiments.gp
if (!exists("folder")) folder = "build/experiments"
if (!exists("users")) users = "skjermvern talsperr"

set terminal pngcairo size 1200, 450 * words(users) font "Sans,10"
set output folder . "/urgent-p99.png"
set datafile separator "\t"
set style data histograms
set style histogram clustered gap 1
set style fill solid 0.8 border -1
set boxwidth 0.9
set grid ytics
set logscale y
set yrange [10:*]
set ylabel "urgent p99, ms"
set key top left

set multiplot layout words(users), 1
do for [user in users] {
  table = folder . "/urgent-p99-" . user . ".tsv"
  columns = int(system("head -n 1 ".table." | wc -w"))
  set title user . " (queries without an answer count with their deadline)"
  plot for [n = 2:columns] table using n:xticlabels(1) title columnheader(n)
}
unset multiplot
