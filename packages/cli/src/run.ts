/** Registers the commands and runs the one given by the arguments. */
import { Builtins, Cli } from "clipanion";
import { ApplyCommand } from "./commands/apply/index.js";
import { AuditCommand } from "./commands/audit/index.js";
import { BoxesCommand } from "./commands/boxes/index.js";
import { CheckSettingsCommand } from "./commands/check-settings/index.js";
import { DeleteCommand } from "./commands/delete/index.js";
import { DiffCommand } from "./commands/diff/index.js";
import { ExplainCommand } from "./commands/explain/index.js";
import { GetCommand } from "./commands/get/index.js";
import { HashTokenCommand } from "./commands/hash-token/index.js";
import { LimitedCommand } from "./commands/limited/index.js";
import { HeldCommand, ReleaseCommand } from "./commands/held/index.js";
import { StatusCommand } from "./commands/status/index.js";
import { WatchCommand } from "./commands/watch/index.js";

/** Standard streams of the tool; tests inject their own. */
export interface CliStreams {
  readonly stdin: NodeJS.ReadableStream;
  readonly stdout: NodeJS.WritableStream;
  readonly stderr: NodeJS.WritableStream;
}

const commands = [
  ApplyCommand,
  AuditCommand,
  BoxesCommand,
  CheckSettingsCommand,
  DeleteCommand,
  DiffCommand,
  ExplainCommand,
  GetCommand,
  HashTokenCommand,
  HeldCommand,
  LimitedCommand,
  ReleaseCommand,
  StatusCommand,
  WatchCommand,
];

/** Runs the tool and resolves to its exit code. */
export function runLinkfall(args: readonly string[], streams: CliStreams): Promise<number> {
  const cli = new Cli({ binaryName: "linkfall", binaryLabel: "linkfall", binaryVersion: "0.1.0" });
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  for (const command of commands) cli.register(command);
  return cli.run([...args], streams as Parameters<typeof cli.run>[1]);
}
