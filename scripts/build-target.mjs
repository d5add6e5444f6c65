/**
 * Bundles the daemon into target/, so that a start reads few files.
 */
import * as fs from 'node:fs'
import * as esbuild from 'esbuild'

const REQUIRE_BANNER = "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);"

/**
 * The web framework's table of all media types is half of what a start reads, in two copies; daemons send four of them, which `media-types.json` lists
 * as the table does.
 */
const MEDIA_TYPES = 'mime-db'

fs.rmSync('target', { recursive: true, force: true })

await esbuild.build({
  entryPoints: { switchridged: 'packages/daemon/src/main.ts' },
  outdir: 'target',
  bundle: true,
  splitting: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  keepNames: true,
  legalComments: 'none',
  logLevel: 'warning',
  banner: { js: REQUIRE_BANNER },
  alias: { ...await readWorkspaceAliases(), [MEDIA_TYPES]: './scripts/media-types.json' }
})

/** Workspace packages are bundled from their sources, so that the build needs no compiled files. */
async function readWorkspaceAliases () {
  const folders = [...fs.readdirSync('packages').map((name) => `packages/${name}`), 'platform']
  const aliases = {}
  for (const folder of folders) {
    const { name } = JSON.parse(fs.readFileSync(`${folder}/package.json`, 'utf8'))
    aliases[name] = `./${folder}/src/index.ts`
  }
  return aliases
}
