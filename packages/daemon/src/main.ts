#!/usr/bin/env node
/** The daemon: `switchridged --settings FILE`. Loads little before the lifecycle exists, since a signal ends the process until then. */
import * as createProcessLifecycle from './createProcessLifecycle/index.js'

const lifecycle = createProcessLifecycle.createProcessLifecycle()
const { runDaemon } = await import('./_lib/runDaemon.js')
await runDaemon(lifecycle)
