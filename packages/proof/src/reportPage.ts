import { writeFile } from "node:fs/promises";
import * as Plot from "@observablehq/plot";
import { parseHTML } from "linkedom";
import type { DetailedResult } from "./experimentPolicies.ts";
import { formatTable } from "./reportTable.ts";

const INTERVAL_MS = 5_000;
const PLOT_WIDTH = 900;
const PLOT_HEIGHT = 260;

const { document } = parseHTML("<!doctype html><html><body></body></html>");

/** Writes an HTML page with tables and plots of the results. */
export async function writeReport(
  file: string,
  results: readonly DetailedResult[],
): Promise<void> {
  await writeFile(file, buildReport(results));
}

/** Builds the page as self-contained HTML. */
export function buildReport(results: readonly DetailedResult[]): string {
  const sections = results.map(buildSection).join("\n");
  return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>Decisions under load</title></head>
<body style="font-family: sans-serif">
${sections}
</body>
</html>
`;
}

function buildSection(detailed: DetailedResult): string {
  const { pattern, deployment, seed } = detailed.result;
  return `<h2>${pattern}, ${deployment}, seed ${seed}</h2>
<pre>${formatTable(detailed.result)}</pre>
<h3>Goodput by tier</h3>
${plotGoodput(detailed)}
<h3>Wasted prefill by cause</h3>
${plotWaste(detailed)}
<h3>Queueing time</h3>
${plotWaiting(detailed)}`;
}

function plotGoodput({ responses }: DetailedResult): string {
  const rows = Object.entries(responses).flatMap(([policy, samples]) =>
    samples.map(({ tier, at }) => ({
      policy,
      tier: `tier ${tier}`,
      second: Math.floor(at / INTERVAL_MS) * INTERVAL_MS / 1_000,
    }))
  );
  return renderPlot({
    color: { legend: false },
    fx: { label: null },
    x: { label: "time, s" },
    y: { label: "responses in 5 s", grid: true },
    marks: [
      Plot.lineY(
        rows,
        Plot.groupX({ y: "count" }, {
          x: "second",
          stroke: "tier",
          fx: "policy",
          sort: "second",
        }),
      ),
    ],
  });
}

function plotWaste({ result }: DetailedResult): string {
  const rows = Object.entries(result.policies).flatMap(([policy, counts]) =>
    Object.entries(counts.wastedByCause).map(([cause, tokens]) => ({
      policy,
      cause,
      tokens,
    }))
  );
  return renderPlot({
    marginLeft: 130,
    x: { label: "prompt tokens", grid: true },
    y: { label: null },
    marks: [Plot.barX(rows, { x: "tokens", y: "policy", fill: "cause" })],
  });
}

function plotWaiting({ responses }: DetailedResult): string {
  const rows = Object.entries(responses).flatMap(([policy, samples]) =>
    samples.map(({ tier, waited }) => ({
      policy,
      tier: `tier ${tier}`,
      seconds: waited / 1_000,
    }))
  );
  return renderPlot({
    fx: { label: null },
    x: { label: "waited, s" },
    y: { label: "responses", grid: true },
    marks: [
      Plot.rectY(
        rows,
        Plot.binX(
          { y: "count" },
          { x: "seconds", stroke: "tier", fx: "policy" } as never,
        ),
      ),
    ],
  });
}

function renderPlot(options: Plot.PlotOptions): string {
  const figure = Plot.plot({
    ...options,
    width: PLOT_WIDTH,
    height: PLOT_HEIGHT,
    document: document as never,
  });
  return figure.outerHTML;
}
