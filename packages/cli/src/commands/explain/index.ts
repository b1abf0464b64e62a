/** `linkfall explain REQUEST FILE...` */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import {
  explainRequest,
  type LogLine,
  parseLogLine,
  formatLogLine,
} from "@linkfall/explain-request";
import { Command, Option } from "clipanion";
import { type ExitCode, exitCodes } from "../../exit-codes.js";

async function readLines(path: string): Promise<readonly LogLine[]> {
  const lines: LogLine[] = [];
  for await (const text of createInterface({ input: createReadStream(path) })) {
    const line = parseLogLine(text);
    if (line) lines.push(line);
  }
  return lines;
}

export class ExplainCommand extends Command {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    description: "tell the story of one request from the logs of boxes",
    details:
      "Prints the request's own lines with what its box believed and what happened to its targets " +
      "and its model, in the order of time.",
    examples: [["Explain a failure", "linkfall explain 9c41d07be2a35f68 box-1.log box-2.log"]],
  });

  request = Option.String();
  files = Option.Rest({ required: 1 });

  async execute(): Promise<ExitCode> {
    const logs = await Promise.all(this.files.map(readLines));
    const story = explainRequest(logs.flat(), this.request);
    if (story.length === 0) {
      this.context.stderr.write(`linkfall: no line names the request ${this.request}\n`);
      return exitCodes.invalid;
    }
    for (const line of story) this.context.stdout.write(`${formatLogLine(line)}\n`);
    return exitCodes.success;
  }
}
