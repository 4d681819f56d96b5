import { type ChildProcess, spawn } from "node:child_process";
import { readFile } from "node:fs/promises";
import process from "node:process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

const KIB_PER_MIB = 1024;

/** A child process and the JSON object of its first output line. */
export interface ChildProgram {
  readonly child: ChildProcess;
  readonly announcement: Record<string, unknown>;
}

/** Starts a program of this directory and waits for its first output line. */
export async function startProgram(
  name: string,
  args: readonly string[] = [],
): Promise<ChildProgram> {
  const file = fileURLToPath(new URL(name, import.meta.url));
  const child = spawn(process.execPath, [file, ...args], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  for await (const line of createInterface({ input: child.stdout! })) {
    return { child, announcement: JSON.parse(line) as Record<string, unknown> };
  }
  throw new Error(`Program ${name} exited before printing a line`);
}

/** Kills a child process and waits for its exit. */
export function endProgram(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    child.once("exit", () => resolve());
    child.kill("SIGKILL");
  });
}

/** Returns the resident set size of a process in MiB. */
export async function residentMib(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, "utf8");
  const [, kib] = /VmRSS:\s+(\d+) kB/.exec(status) ?? [];
  return Number(kib ?? 0) / KIB_PER_MIB;
}

/** Length of a clock tick in /proc, at 100 ticks per second. */
const MICROS_PER_TICK = 10_000;

/** Returns the processor time used by a process in microseconds. */
export async function processorMicros(pid: number): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const [userTicks, systemTicks] = [Number(fields[11]), Number(fields[12])];
  return (userTicks + systemTicks) * MICROS_PER_TICK;
}
