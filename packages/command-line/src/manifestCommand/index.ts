/** `switchridge manifest create`: writes the manifest to publish along with a weights file. */
import * as fs from 'node:fs'
import type * as yargs from 'yargs'
import * as types from '@switchridge/types'
import * as transfer from '@switchridge/transfer'
import * as report from '../_lib/report.js'

const DEFAULT_CHUNK_MEBIBYTES = 16

/** Adds the `manifest` command. */
export function addManifestCommand (parser: yargs.Argv): yargs.Argv {
  return parser.command('manifest', 'make manifests of weights', (command) => command
    .command('create <file>', 'write FILE.manifest.json and print its digest', (sub) => sub
      .positional('file', { type: 'string', demandOption: true })
      .option('chunk-mebibytes', { type: 'number', default: DEFAULT_CHUNK_MEBIBYTES, describe: 'size of a chunk' }), async ({ file, chunkMebibytes }) => {
      const manifest = await transfer.createManifest(fs.createReadStream(file), chunkMebibytes * types.BYTES_IN_MEBIBYTE)
      const bytes = transfer.formatManifest(manifest)
      fs.writeFileSync(`${file}.manifest.json`, bytes)
      report.print(JSON.stringify({ manifest: transfer.computeDigest(bytes), bytes: manifest.bytes, chunks: manifest.chunks.length }))
    })
    .demandCommand(1))
}
