/** Base class of the commands that query a box. */
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

const defaultUrl = "http://127.0.0.1:7072";

/** A command that queries a box through its operator API. */
export abstract class OperatorCommand extends Command {
  box = Option.String("--box", {
    description: "URL of the operator address of any box; default: LINKFALL_BOX",
  });
  token = Option.String("--token", { description: "operator token; default: LINKFALL_TOKEN" });
  ca = Option.String("--ca", { description: "PEM file of the certificate authority of the box" });
  output = Option.String("--output,-o", "table", { description: "output format: table or json" });

  protected client(): OperatorClient {
    return createOperatorClient({
      url: this.box ?? process.env.LINKFALL_BOX ?? defaultUrl,
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

  /** Prints a value as JSON or as a table, depending on the output option. */
  protected printValue(
    value: unknown,
    headers: readonly string[],
    rows: () => readonly TableRow[],
  ): void {
    if (this.output === "json") this.printLine(JSON.stringify(value, undefined, 2));
    else this.context.stdout.write(renderTable(headers, rows()));
  }

  /** Prints a successful result with `printValue`, or the reason of a failure. */
  protected handleResult<T>(
    result: Either<RequestFailure, T>,
    printValue: (value: T) => ExitCode | void,
  ): ExitCode {
    return result.caseOf<ExitCode>({
      Left: (failure) => {
        this.printError(failure.reason);
        return exitCodes.unreachable;
      },
      Right: (value) => printValue(value) ?? exitCodes.success,
    });
  }

  protected printProblems(problems: readonly FieldProblem[]): ExitCode {
    for (const { field, reason } of problems) this.printError(`${field}: ${reason}`);
    return exitCodes.invalid;
  }

  /** Prints the outcome of a write. */
  protected printWriteResult(response: WriteResponse): ExitCode {
    if (this.output === "json") this.printLine(JSON.stringify(response));
    return match(response)
      .with({ kind: "accepted" }, ({ revision, boxes, inForceOn }): ExitCode => {
        const progress = `in force on ${inForceOn} of ${boxes} boxes`;
        if (this.output !== "json") this.printLine(`accepted at revision ${revision}, ${progress}`);
        return exitCodes.success;
      })
      .with({ kind: "revision_conflict" }, ({ subject, base, current, who }): ExitCode => {
        const author = who === "" ? "" : ` by ${who}`;
        this.printError(
          `conflict on ${resourceKey(subject)}: your change is based on revision ${base}, ` +
            `the current one is ${current}${author}; nothing was applied`,
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
