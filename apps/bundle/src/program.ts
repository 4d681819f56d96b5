import { type CAC, cac } from "cac";
import {
  type CommandOutput,
  getIntegerOption,
  getRequiredTextOption,
  getTextOption,
  type ParsedOptions,
  runCommandLine,
} from "@wasabivane/common";
import { checkCommand } from "./checkCommand.ts";
import { diffCommand } from "./diffCommand.ts";
import { explainCommand } from "./explainCommand.ts";
import { initCommand } from "./initCommand.ts";
import { keygenCommand } from "./keygenCommand.ts";
import { signCommand } from "./signCommand.ts";
import { verifyCommand } from "./verifyCommand.ts";

/** Options of {@link runBundleTool}. */
export interface BundleToolOptions {
  readonly argv: readonly string[];
  readonly output: CommandOutput;
  readonly version: string;
}

/**
 * Runs `wasabivane-bundle` and returns its exit code: 0 on success, 1 on
 * findings, 2 on a usage error.
 */
export function runBundleTool(
  { argv, output, version }: BundleToolOptions,
): Promise<number> {
  const cli = cac("wasabivane-bundle");
  cli.option("--json", "Print one JSON document for programs");
  registerFileCommands(cli);
  registerKeyCommands(cli);
  cli.help();
  cli.version(version);
  return runCommandLine(cli, { argv, output });
}

function registerFileCommands(cli: CAC): void {
  cli.command("init", "Write a bundle template with comments")
    .option("--deployment <name>", "fukuoka or cairo")
    .option("--out <file>", "Write to a file instead of printing")
    .action((options: ParsedOptions) =>
      initCommand({
        deployment: getRequiredTextOption(options, "deployment"),
        out: getTextOption(options, "out"),
      })
    );
  cli.command("check <file>", "Check a bundle for errors")
    .action((file: unknown) => checkCommand(String(file)));
  cli.command("diff <from> <to>", "List the parts that differ")
    .action((from: unknown, to: unknown) =>
      diffCommand(String(from), String(to))
    );
  cli.command("explain <file>", "Explain how a request would be handled")
    .option("--account <account>", "Client account that sends the request")
    .option("--model <model>", "Model that the request names")
    .option("--path <path>", "Path of the request, for plain services")
    .option("--method <method>", "HTTP method (default: POST)")
    .option("--tier <tier>", "Tier that the request names")
    .action((file: unknown, options: ParsedOptions) =>
      explainCommand(String(file), {
        account: getRequiredTextOption(options, "account"),
        model: getTextOption(options, "model"),
        path: getTextOption(options, "path"),
        method: getTextOption(options, "method")?.toUpperCase(),
        tier: getIntegerOption(options, "tier"),
      })
    );
}

function registerKeyCommands(cli: CAC): void {
  cli.command("keygen", "Create a key pair for signing")
    .option("--key-id <id>", "Id in settings (default: from the key itself)")
    .option("--out <file>", "File of the private key (default: ID.pem)")
    .action((options: ParsedOptions) =>
      keygenCommand({
        keyId: getTextOption(options, "keyId"),
        out: getTextOption(options, "out"),
      })
    );
  cli.command("sign <file>", "Check and sign a bundle")
    .option("--key <file>", "File of the private key")
    .option("--key-id <id>", "Id under which settings pin the key")
    .option("--out <file>", "Write to a file instead of printing")
    .action((file: unknown, options: ParsedOptions) =>
      signCommand(String(file), {
        keyFile: getRequiredTextOption(options, "key"),
        keyId: getRequiredTextOption(options, "keyId"),
        out: getTextOption(options, "out"),
      })
    );
  cli.command("verify <file>", "Verify a signed bundle against trusted keys")
    .option("--trust <file>", "Settings, or a list of trusted keys")
    .action((file: unknown, options: ParsedOptions) =>
      verifyCommand(String(file), {
        trustedKeysFile: getRequiredTextOption(options, "trust"),
      })
    );
}
