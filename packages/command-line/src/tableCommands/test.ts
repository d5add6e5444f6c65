/** Guards against an interrupted edit of which its operator can't tell whether it took effect, nor repeat it: its id was never printed. */
import * as assert from 'node:assert/strict'
import * as childProcess from 'node:child_process'
import * as nodeTest from 'node:test'
import * as url from 'node:url'
import * as rpc from '@switchridge/rpc'
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'

const COMMAND = url.fileURLToPath(new URL('../main.js', import.meta.url))
const UNAVAILABLE = 5
const OPTIONS = { timeout: 60_000 }

interface Result {
  readonly code: number | null
  readonly output: string
}

/** Sends an edit to the platform; `onStart` is called with the process of the command. */
async function runEdit (platformUrl: string, options: readonly string[], onStart: (child: childProcess.ChildProcess) => void = () => {}): Promise<Result> {
  const child = childProcess.spawn(process.execPath, [COMMAND, 'table', 'set', 'service/api', 'kind=plain', '--platform', platformUrl, ...options], { stdio: ['ignore', 'pipe', 'pipe'] })
  let output = ''
  for (const stream of [child.stdout, child.stderr]) stream.on('data', (bytes: Buffer) => { output += bytes.toString() })
  onStart(child)
  return await new Promise((resolve) => { child.once('close', (code) => { resolve({ code, output }) }) })
}

for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
  nodeTest.test(`an edit that is interrupted before it is confirmed can be repeated and takes effect once (${signal})`, OPTIONS, async (context) => {
    const handle = standins.createPlatformStandIn().callback()
    let interrupt: (() => void) | null = null
    const listener = await rpc.listenHttp((request, response) => {
      // The answer is lost: the edit takes effect while the command waits for it.
      if (request.method === 'PUT' && interrupt !== null) {
        response.end = () => {
          interrupt?.()
          return response
        }
      }
      void handle(request, response)
    }, { host: types.LOOPBACK_HOST, port: 0 })
    context.after(() => { listener.abort() })
    const platformUrl = `http://${listener.address.host}:${listener.address.port}`
    const { code, output } = await runEdit(platformUrl, [], (child) => { interrupt = () => { child.kill(signal) } })
    const editId = /repeat the command with --edit-id (\S+);/.exec(output)?.[1] ?? ''
    assert.deepEqual([code, editId === ''], [UNAVAILABLE, false], output)
    interrupt = null
    assert.deepEqual(await runEdit(platformUrl, ['--edit-id', editId]), { code: 0, output: 'accepted as revision 1\n' })
  })
}
