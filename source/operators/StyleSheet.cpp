#include "operators/Layout.h"

namespace lagoontiller::operators {

const std::string& styleSheet()
{
    static const std::string text = R"css(
:root { color-scheme: light; --ink: #1d2733; --quiet: #566373; --line: #cfd7e0; --paper: #ffffff; --ground: #f3f5f8;
  --accent: #0b5cad; --good: #146c3a; --good-ground: #e5f4ea; --warn: #7a4b00; --warn-ground: #fff3d6;
  --bad: #a31621; --bad-ground: #fdeaea; }
* { box-sizing: border-box; }
body { margin: 0; font: 16px/1.45 system-ui, sans-serif; color: var(--ink); background: var(--ground); }
header { background: var(--ink); color: #fff; padding: .5rem 1rem; display: flex; flex-wrap: wrap; gap: .3rem 1.2rem;
  align-items: center; }
.brand { font-weight: 700; }
nav { display: flex; flex-wrap: wrap; gap: .3rem .8rem; align-items: center; flex: 1; }
nav a { color: #fff; padding: .35rem .2rem; text-decoration: none; border-bottom: 3px solid transparent; }
nav a[aria-current] { border-bottom-color: #fff; }
nav form { margin-left: auto; display: flex; gap: .6rem; align-items: center; }
nav .author { overflow-wrap: anywhere; max-width: 14rem; }
main { max-width: 66rem; margin: 0 auto; padding: 1rem; }
h1 { font-size: 1.5rem; margin: .4rem 0 .8rem; }
h2 { font-size: 1.2rem; margin: 1.6rem 0 .5rem; }
h3 { font-size: 1rem; margin: .2rem 0 .5rem; overflow-wrap: anywhere; }
a { color: var(--accent); }
.note { padding: .6rem .8rem; border-left: 4px solid var(--accent); background: var(--paper); overflow-wrap: anywhere; }
.success { border-color: var(--good); background: var(--good-ground); color: var(--good); }
.warning { border-color: var(--warn); background: var(--warn-ground); color: var(--warn); }
.fault { border-color: var(--bad); background: var(--bad-ground); color: var(--bad); }
button, .button { font: inherit; padding: .5rem .9rem; border: 1px solid var(--accent); border-radius: .3rem;
  background: var(--paper); color: var(--accent); cursor: pointer; text-decoration: none; display: inline-block; }
button.main { background: var(--accent); color: #fff; }
button.quiet { border-color: var(--quiet); color: var(--quiet); padding: .25rem .6rem; }
button.danger { border-color: var(--bad); color: var(--bad); }
header button.quiet { background: transparent; color: #fff; }
.bar { display: flex; flex-wrap: wrap; gap: .5rem; margin: .8rem 0; align-items: center; }
.sticky { position: sticky; bottom: 0; background: var(--ground); border-top: 1px solid var(--line);
  padding: .6rem 0; margin-bottom: 0; }
.kinds button[aria-current] { background: var(--ink); border-color: var(--ink); color: #fff; }
.kinds .count { font-size: .85em; }
.kinds .faulty { color: var(--bad); font-weight: 700; }
.kinds button[aria-current] .faulty { color: #ffc9c9; }
section.part { background: var(--paper); border: 1px solid var(--line); border-radius: .4rem; padding: .8rem;
  margin: .8rem 0; }
section.part.has-fault { border-color: var(--bad); }
.part-head { display: flex; gap: .5rem; justify-content: space-between; align-items: flex-start; }
.fields { display: grid; grid-template-columns: repeat(auto-fill, minmax(17rem, 1fr)); gap: .8rem 1.2rem; }
label { font-weight: 600; display: block; }
.must { color: var(--bad); font-weight: 400; font-size: .85rem; }
input[type=text], input[type=password], select, textarea { font: inherit; width: 100%; padding: .45rem;
  border: 1px solid #8794a3; border-radius: .3rem; background: #fff; color: var(--ink); }
[aria-invalid=true] { border: 2px solid var(--bad) !important; }
textarea { min-height: 14rem; font-family: ui-monospace, monospace; font-size: .9rem; }
.help { color: var(--quiet); font-size: .85rem; margin: .15rem 0 0; overflow-wrap: anywhere; }
.problem { color: var(--bad); font-size: .9rem; margin: .2rem 0 0; overflow-wrap: anywhere; }
details { margin: 1.6rem 0; } summary { cursor: pointer; color: var(--accent); }
.narrow { max-width: 26rem; }
.table { overflow-x: auto; }
table { border-collapse: collapse; width: 100%; background: var(--paper); }
th, td { text-align: left; vertical-align: top; padding: .4rem .6rem; border-bottom: 1px solid var(--line);
  overflow-wrap: break-word; }
th { font-size: .85rem; color: var(--quiet); overflow-wrap: normal; }
td.number, th.number { text-align: right; font-variant-numeric: tabular-nums; }
.state-good { color: var(--good); } .state-warn { color: var(--warn); } .state-bad { color: var(--bad); }
.tiles { display: grid; grid-template-columns: repeat(auto-fill, minmax(10rem, 1fr)); gap: .6rem; }
.tile { background: var(--paper); border: 1px solid var(--line); border-radius: .4rem; padding: .6rem .8rem; }
.tile b { display: block; font-size: 1.25rem; overflow-wrap: anywhere; }
.tile span { color: var(--quiet); font-size: .85rem; }
.charts { display: grid; grid-template-columns: repeat(auto-fill, minmax(18rem, 1fr)); gap: .8rem; }
.chart { background: var(--paper); border: 1px solid var(--line); border-radius: .4rem; padding: .6rem; margin: 0; }
.chart svg { width: 100%; height: auto; display: block; }
.chart figcaption { font-size: .9rem; overflow-wrap: anywhere; }
.bars { fill: var(--accent); } .axis { stroke: var(--quiet); } .tick { font-size: 11px; fill: var(--quiet); }
@media (max-width: 40rem) {
  main { padding: .7rem; }
  .table thead { display: none; }
  .table tr { display: block; border-bottom: 2px solid var(--line); padding: .3rem 0; }
  .table td, .table td.number { display: block; overflow-wrap: anywhere; border: 0; padding: .12rem .6rem; text-align: left; }
  .table td::before { content: attr(data-name) ": "; color: var(--quiet); font-size: .85rem; }
  .table td[data-name=""]::before { content: ""; }
  .table td.none { display: none; }
}
)css";
    return text;
}

} // namespace lagoontiller::operators
