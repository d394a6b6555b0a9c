# Draws results/table.tsv: p99 over the ideal and wasted messages by scenario.
set terminal pngcairo size 1500,900
set output "results/table.png"
set datafile separator "\t"
set style data histogram
set style histogram clustered gap 1
set style fill solid 0.8 border -1
set key outside top center horizontal
set xtics rotate by -30
set multiplot layout 2,1
set logscale y
set ylabel "p99 over the ideal"
plot for [c=2:6] "results/p99.tsv" using c:xtic(1) title columnheader(c)
set ylabel "wasted messages, share of all"
plot for [c=2:6] "results/waste.tsv" using c:xtic(1) title columnheader(c)
unset multiplot
