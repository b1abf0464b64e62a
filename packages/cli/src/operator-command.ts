/** What all commands that ask a box have in common. */
import { readFileSync } from "node:fs";
import type { FieldProblem } from "@linkfall/errors";
import {
  type RequestFailure,
  createOperatorClient,
  type OperatorClient,
} from "@linkfall/operator-client";
import type { WriteResponse } from "@linkfall/operator-service";
import { resourceKey } from "@linkfall/types";
import { Command, Option } from "clipanion";
import type { Either } from "purify-ts";
import { match } from "ts-pattern";
import { type ExitCode, exitCodes } from "./exit-codes.js";
import { renderTable, type TableRow } from "./table.js";

const standardUrl = "http://127.0.0.1:7072";

/** A command that asks a box. Subclasses say what to ask. */
export abstract class OperatorCommand extends Command {
  box = Option.String("--box", {
    description: "operator address of any box, as a URL; else LINKFALL_BOX",
  });
  token = Option.String("--token", { description: "operator's token; else LINKFALL_TOKEN" });
  ca = Option.String("--ca", { description: "PEM file of the authority of the box's certificate" });
  output = Option.String("--output,-o", "table", { description: "table or json" });

  protected client(): OperatorClient {
    return createOperatorClient({
      url: this.box ?? process.env.LINKFALL_BOX ?? standardUrl,
      token: this.token ?? process.env.LINKFALL_TOKEN ?? "",
      ca: this.ca === undefined ? undefined : readFileSync(this.ca, "utf8"),
    });
  }

  protected printLine(text: string): void {
    this.context.stdout.write(`${text}\n`);
  }

  protected printError(text: string): void {
    this.context.stderr.write(`linkfall: ${text}\n`);
  }

  /** Shows a value as JSON, or as the table made from it. */
  protected printValue(
    value: unknown,
    heads: readonly string[],
    rows: () => readonly TableRow[],
  ): void {
    if (this.output === "json") this.printLine(JSON.stringify(value, undefined, 2));
    else this.context.stdout.write(renderTable(heads, rows()));
  }

  /** Shows an answer, or says why there is none. */
  protected handleResult<T>(
    answer: Either<RequestFailure, T>,
    show: (value: T) => ExitCode | void,
  ): ExitCode {
    return answer.caseOf<ExitCode>({
      Left: (failure) => {
        this.printError(failure.reason);
        return exitCodes.unreachable;
      },
      Right: (value) => show(value) ?? exitCodes.success,
    });
  }

  protected printProblems(problems: readonly FieldProblem[]): ExitCode {
    for (const { field, reason } of problems) this.printError(`${field}: ${reason}`);
    return exitCodes.invalid;
  }

  /** Says what became of a write. */
  protected printWriteResult(written: WriteResponse): ExitCode {
    if (this.output === "json") this.printLine(JSON.stringify(written));
    return match(written)
      .with({ kind: "accepted" }, ({ revision, boxes, inForceOn }): ExitCode => {
        const where = `in force on ${inForceOn} of ${boxes} boxes`;
        if (this.output !== "json") this.printLine(`accepted at revision ${revision}, ${where}`);
        return exitCodes.success;
      })
      .with({ kind: "revision_conflict" }, ({ subject, base, current, who }): ExitCode => {
        const by = who === "" ? "" : ` by ${who}`;
        this.printError(
          `conflict on ${resourceKey(subject)}: your change is based on revision ${base}, ` +
            `the current one is ${current}${by}; nothing was applied`,
        );
        return exitCodes.conflict;
      })
      .with({ kind: "invalid_input" }, ({ problems }) => this.printProblems(problems))
      .with({ kind: "unknown" }, ({ reason }): ExitCode => {
        this.printError(reason);
        return exitCodes.outcomeUnknown;
      })
      .exhaustive();
  }
}
