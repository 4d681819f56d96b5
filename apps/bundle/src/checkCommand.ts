import { type BundleFile, readBundleFile } from "@wasabivane/bundle";
import { type CommandReport, EXIT_OK } from "@wasabivane/common";
import { documentErrorsReport } from "./documentErrorsReport.ts";

/** Checks that a bundle file is well formed and consistent. */
export function checkCommand(file: string): CommandReport {
  return readBundleFile(file).match(
    (bundleFile) => validReport(file, bundleFile),
    documentErrorsReport,
  );
}

function validReport(file: string, { bundle }: BundleFile): CommandReport {
  const { deployment, version, services, upstreams, clientAccounts } = bundle;
  const counts = [
    `${services.length} services`,
    `${upstreams.length} upstreams`,
    `${clientAccounts.length} client accounts`,
  ];
  return {
    exitCode: EXIT_OK,
    data: { errors: [], deployment, version },
    lines: [
      `${file}: version ${version} of ${deployment}, ${counts.join(", ")}`,
    ],
  };
}
