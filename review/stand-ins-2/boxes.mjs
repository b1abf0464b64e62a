/** Boxes as processes: the command of the deploy file, with settings that its template lays. */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { env, execPath } from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { get } from "./get.mjs";

const root = resolve(fileURLToPath(import.meta.url), "../../..");
const deploy = readFileSync(join(root, "deploy/system.toml"), "utf8");
const command = /^run = "node (.*)"$/m.exec(deploy)[1].split(" ");
const template = readFileSync(join(root, /^template = "(.*)"$/m.exec(deploy)[1]), "utf8");
const metricsPort = 9464;
const maxLogCharacters = 2_000;

const canListen = (host, port) =>
  new Promise((settle) => {
    const server = createServer();
    server.once("error", () => settle(undefined));
    server.listen(port, host, () => {
      const taken = server.address().port;
      server.close(() => settle(taken));
    });
  });

/** A loopback address on which the port of the metrics is free. */
async function freeHost() {
  for (;;) {
    const host = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`;
    if ((await canListen(host, metricsPort)) !== undefined) return host;
  }
}

const render = (value) => {
  if (value === undefined || value === null) return "";
  return Array.isArray(value) ? value.join(",") : String(value);
};

/** Fills the gaps of the template, as the platform does. */
const fill = (fields) =>
  template.replaceAll(/\{\{([\w.]+)\}\}/g, (_gap, path) =>
    render(path.split(".").reduce((value, name) => value?.[name], fields)),
  );

/** Bounds of a small deployment, as its sheet gives them. */
export const bounds = {
  seed_lag_s: 3,
  contact_ms: 3000,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  retry_budget_ratio: 0.2,
  retry_budget_slack: 54,
  lease_ms: 3000,
  enforce_fencing: true,
};

/** Chooses addresses for `count` boxes and starts them; each reaches the store by the proxy that `storeLink` starts, if there is one. */
export async function startBoxes(count, storeAddress, { zones = ["a", "b"], storeLink } = {}) {
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const boxes = [];
  for (let index = 0; index < count; index++) {
    const host = await freeHost();
    const listen = {};
    for (const name of ["front", "ready", "directory", "control"]) {
      let address;
      do address = `${host}:${await canListen(host, 0)}`;
      while (Object.values(listen).includes(address));
      listen[name] = address;
    }
    boxes.push({ name: `front-${index + 1}`, host, listen, zone: zones[index % zones.length] });
  }
  const seeds = boxes.slice(0, 3).map(({ listen }) => listen.control);
  const start = (box) => {
    const child = spawn(execPath, command, {
      cwd: root,
      env: { PATH: env.PATH, HOME: env.HOME, LANG: env.LANG, LINKFALL_NODE_FILE: box.file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    box.child = child;
    const keep = (text) => void (box.log += text);
    child.stdout.setEncoding("utf8").on("data", keep);
    child.stderr.setEncoding("utf8").on("data", keep);
    box.exited = new Promise((settle) =>
      child.once("exit", (code, signal) => settle({ code, signal })),
    );
  };
  for (const box of boxes) {
    box.log = "";
    box.storeLink = await storeLink?.();
    box.file = join(folder, `${box.name}.ini`);
    const fields = {
      node: box.name,
      zone: box.zone,
      ip: box.host,
      listen: box.listen,
      seeds,
      bounds,
      limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100 },
      platform: { address: box.storeLink?.address ?? storeAddress },
      contracts: [
        "base",
        "drain",
        "config",
        "cost",
        "retry",
        "recover",
        "fleet",
        "stream",
        "engine",
        "platform",
      ],
    };
    writeFileSync(box.file, fill(fields));
    start(box);
  }
  const isReady = async ({ listen }) => {
    try {
      return (await get(listen.ready, "/v1/ready")).status === 200;
    } catch {
      return false;
    }
  };
  return {
    boxes,
    start,
    isReady,
    async whenReady(timeoutMs = 20_000) {
      const deadline = Date.now() + timeoutMs;
      for (const box of boxes)
        while (!(await isReady(box))) {
          if (Date.now() > deadline)
            throw new Error(
              `${box.name} is not ready, its log: ${box.log.slice(-maxLogCharacters)}`,
            );
          await sleep(50);
        }
    },
    /** Kills the processes that were started here, also stopped ones. */
    async stop() {
      for (const { child, exited } of boxes) {
        child.kill("SIGCONT");
        child.kill("SIGKILL");
        await exited;
      }
      rmSync(folder, { recursive: true, force: true });
    },
  };
}
